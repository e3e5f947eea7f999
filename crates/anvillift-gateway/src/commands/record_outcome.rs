//! Records the outcome of an attempt in the ledger.

use std::sync::Arc;
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::ledger::LedgerOperation;
use anvillift_schema::name::Name;
use tokio::time::{self, Instant};

use super::proposal;
use crate::gateway::Gateway;

/// Maximum time that an answer to the caller is delayed until its outcome is recorded.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// Maximum time that recording is retried. If it fails, the key stays reserved until its holder
/// restarts.
const RECORD_RETRY_LIMIT: Duration = Duration::from_secs(600);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum time that a planned stop waits until all outcomes are recorded.
const SHUTDOWN_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of outcomes waiting to be recorded; further ones are dropped.
const MAX_PENDING_RECORDS: u32 = 10_000;

/// Records an operation in the background, with retries. With `wait_for_record` it returns once the
/// operation is recorded, or after [`RECORD_WAIT`].
pub(super) async fn record(
    gateway: &Arc<Gateway>,
    home: &Name,
    operation: LedgerOperation,
    wait_for_record: bool,
) {
    if gateway.commands.pending_records.count() >= MAX_PENDING_RECORDS {
        log::warn!(
            event = Event::LedgerUnavailable.number();
            "dropping the outcome of a command: {MAX_PENDING_RECORDS} others wait to be recorded"
        );
        return;
    }
    let guard = gateway.commands.pending_records.enter();
    let (gateway, home) = (gateway.clone(), home.clone());
    let recording = tokio::spawn(async move {
        let _guard = guard;
        propose_until_recorded(&gateway, &home, &operation).await;
    });
    if wait_for_record {
        let _ = time::timeout(RECORD_WAIT, recording).await;
    }
}

async fn propose_until_recorded(gateway: &Arc<Gateway>, home: &Name, operation: &LedgerOperation) {
    let deadline = Instant::now() + RECORD_RETRY_LIMIT;
    let mut backoff = INITIAL_BACKOFF;
    while proposal::propose(gateway, home, operation).await.is_err() {
        if Instant::now() > deadline {
            log::warn!(
                event = Event::LedgerUnavailable.number();
                "giving up recording the outcome of a command: the ledger of {home} did not \
                 accept it within {RECORD_RETRY_LIMIT:?}"
            );
            return;
        }
        time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Waits until all outcomes are recorded, up to [`SHUTDOWN_WAIT`].
pub(super) async fn wait_for_records(gateway: &Arc<Gateway>) {
    let _ = time::timeout(SHUTDOWN_WAIT, gateway.commands.pending_records.wait_until_idle()).await;
}
