//! What the ledger is to be told after an attempt.

use std::sync::Arc;
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::ledger::LedgerOperation;
use anvillift_schema::name::Name;
use tokio::time::{self, Instant};

use super::proposal;
use crate::gateway::Gateway;

/// How long an answer waits for its record.
const RECORD_LIMIT: Duration = Duration::from_millis(500);
/// How long a record is tried; the key then stays reserved until its holder restarts.
const TRY_LIMIT: Duration = Duration::from_secs(600);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// How long a planned stop waits for records.
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// Records that may wait; more are dropped.
const MAX_SETTLING: u32 = 10_000;

/// Proposes until it is recorded; `waits` for that, but only for a short time.
pub(super) async fn record(
    gateway: &Arc<Gateway>,
    home: &Name,
    operation: LedgerOperation,
    waits: bool,
) {
    if gateway.commands.settling.count() >= MAX_SETTLING {
        log::warn!(event = Event::LedgerUnavailable.number(); "a record is dropped");
        return;
    }
    let guard = gateway.commands.settling.enter();
    let (gateway, home) = (gateway.clone(), home.clone());
    let recording = tokio::spawn(async move {
        let _guard = guard;
        keep_proposing(&gateway, &home, &operation).await;
    });
    if waits {
        let _ = time::timeout(RECORD_LIMIT, recording).await;
    }
}

async fn keep_proposing(gateway: &Arc<Gateway>, home: &Name, operation: &LedgerOperation) {
    let until = Instant::now() + TRY_LIMIT;
    let mut pause = FIRST_PAUSE;
    while proposal::propose(gateway, home, operation).await.is_err() {
        if Instant::now() > until {
            log::warn!(event = Event::LedgerUnavailable.number(); "a record is given up");
            return;
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Waits until everything is recorded.
pub(super) async fn wait(gateway: &Arc<Gateway>) {
    let _ = time::timeout(STOP_LIMIT, gateway.commands.settling.none_left()).await;
}
