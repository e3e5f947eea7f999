//! Answers of commands, stored for replay on the ledger replicas in the places of the profile.

use std::sync::Arc;
use std::time::Duration;

use anvillift_ledger::machine;
use anvillift_schema::configuration::Profile;
use anvillift_schema::ledger::{CommandOutcome, LedgerOperation, LedgerVerdict};
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use futures_util::future;
use tokio::time;

use super::groups;
use crate::gateway::Gateway;
use crate::placement;

/// Timeout of a call that stores or fetches an answer on another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of searches for an answer before it counts as lost.
const FETCH_ATTEMPTS: u32 = 4;
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stores an answer on this host and on the replicas that the profile allows.
pub(super) async fn store(
    gateway: &Arc<Gateway>,
    home: &Name,
    profile: &Profile,
    key_hash: &str,
    outcome: &CommandOutcome,
) {
    let keep_ms = profile.command_retention_ms;
    store_locally(gateway, key_hash.to_owned(), outcome.clone(), keep_ms);
    let operation = LedgerOperation::StoreAnswer {
        key_hash: key_hash.to_owned(),
        outcome: outcome.clone(),
        keep_ms,
    };
    let calls = replicas(gateway, home, profile).into_iter().map(|host| {
        let operation = &operation;
        async move { call(gateway, home, &host, operation).await }
    });
    future::join_all(calls).await;
}

/// Fetches the answer with a hash from this host or from a replica that the profile allows.
///
/// The ledger may record the outcome before the answer has reached the replicas, so the search is
/// repeated a few times.
pub(super) async fn fetch(
    gateway: &Arc<Gateway>,
    home: &Name,
    profile: &Profile,
    key_hash: &str,
    answer_hash: &str,
) -> Option<CommandOutcome> {
    for attempt in 0..FETCH_ATTEMPTS {
        if attempt > 0 {
            time::sleep(FETCH_RETRY_DELAY).await;
        }
        let found = fetch_once(gateway, home, profile, key_hash, answer_hash).await;
        if found.is_some() {
            return found;
        }
    }
    None
}

async fn fetch_once(
    gateway: &Arc<Gateway>,
    home: &Name,
    profile: &Profile,
    key_hash: &str,
    answer_hash: &str,
) -> Option<CommandOutcome> {
    let stored = fetch_locally(gateway, key_hash, answer_hash);
    if stored.is_some() {
        return stored;
    }
    let operation = LedgerOperation::FetchAnswer {
        key_hash: key_hash.to_owned(),
        answer_hash: answer_hash.to_owned(),
    };
    for host in replicas(gateway, home, profile) {
        if let Some(LedgerVerdict::Answer(outcome)) = call(gateway, home, &host, &operation).await {
            return Some(outcome);
        }
    }
    None
}

/// Handles a call of another host that stores or fetches an answer; `None` for other operations.
pub(super) fn handle_call(gateway: &Gateway, command: &Payload) -> Option<PeerAnswer> {
    let verdict = match ciborium::from_reader(command.as_ref()).ok()? {
        LedgerOperation::StoreAnswer { key_hash, outcome, keep_ms } => {
            LedgerVerdict::Recorded(store_locally(gateway, key_hash, outcome, keep_ms))
        }
        LedgerOperation::FetchAnswer { key_hash, answer_hash } => {
            match fetch_locally(gateway, &key_hash, &answer_hash) {
                Some(outcome) => LedgerVerdict::Answer(outcome),
                None => LedgerVerdict::Recorded(false),
            }
        }
        _ => return None,
    };
    Some(PeerAnswer::Outcome(Payload::from(machine::encode_verdict(&verdict))))
}

fn store_locally(
    gateway: &Gateway,
    key_hash: String,
    outcome: CommandOutcome,
    keep_ms: u64,
) -> bool {
    let now_ms = gateway.now_ms();
    let mut answers = gateway.commands.answers.lock().expect("lock");
    answers.store(now_ms, key_hash, outcome, now_ms.saturating_add(keep_ms))
}

fn fetch_locally(gateway: &Gateway, key_hash: &str, answer_hash: &str) -> Option<CommandOutcome> {
    let answers = gateway.commands.answers.lock().expect("lock");
    answers.fetch(gateway.now_ms(), key_hash, answer_hash)
}

/// Other ledger replicas of a home region that are in the places of a profile.
fn replicas(gateway: &Gateway, home: &Name, profile: &Profile) -> Vec<Name> {
    let Some(group) = gateway.settings.ledgers.get(home) else { return Vec::new() };
    let allowed = |host: &&Name| {
        let peer = gateway.settings.peers.get(*host);
        **host != *gateway.host()
            && peer.is_some_and(|peer| placement::allows(profile, &peer.region, &peer.data_centre))
    };
    group.voters.iter().filter(allowed).cloned().collect()
}

async fn call(
    gateway: &Arc<Gateway>,
    home: &Name,
    host: &Name,
    operation: &LedgerOperation,
) -> Option<LedgerVerdict> {
    let command = Payload::from(machine::encode_operation(operation));
    let call = PeerCall::Propose { group: groups::group_name(home), command };
    match gateway.mesh().call(host, call, CALL_TIMEOUT).await {
        Ok(PeerAnswer::Outcome(verdict)) => machine::decode_verdict(&verdict),
        _ => None,
    }
}
