//! Writes the time into the logs of the ledgers, so that their replicas expire keys at the same log
//! position.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvillift_ledger::machine;
use anvillift_replication::GroupHandle;
use anvillift_schema::ledger::LedgerOperation;
use tokio::time::{self, Instant};

use super::groups::Groups;
use crate::gateway::Gateway;

/// Interval between two time entries in the log of a ledger.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which a task checks whether this host leads its group.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Wall-clock time, in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Starts a task per group that proposes the time while this host leads the group. The tasks end
/// with the gateway.
pub(super) fn start(gateway: &Arc<Gateway>, groups: &Groups) {
    for handle in groups.all() {
        let (handle, gateway) = (handle.clone(), Arc::downgrade(gateway));
        tokio::spawn(async move {
            let mut proposed: Option<(u64, Instant)> = None;
            while gateway.strong_count() > 0 {
                time::sleep(LEADER_CHECK_INTERVAL).await;
                propose_time(&handle, &mut proposed).await;
            }
        });
    }
}

async fn propose_time(handle: &GroupHandle, proposed: &mut Option<(u64, Instant)>) {
    let status = handle.status();
    let leads = status.role == anvillift_consensus::RoleKind::Leader;
    let due =
        proposed.is_none_or(|(term, at)| term != status.term || at.elapsed() >= EXPIRE_INTERVAL);
    if !leads || !due {
        return;
    }
    let operation = LedgerOperation::Expire { now_unix_ms: unix_ms() };
    if handle.propose(machine::encode_operation(&operation)).await.is_ok() {
        *proposed = Some((status.term, Instant::now()));
    }
}
