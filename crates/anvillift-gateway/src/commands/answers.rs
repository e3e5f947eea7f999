//! Whole answers kept for replay, on hosts in the places of the profile.

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

/// How long another host may take to store or give an answer.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Looks for an answer before it counts as gone.
const LOOKS: u32 = 4;
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Keeps an answer here and on the replicas that the profile allows.
pub(super) async fn store(
    gateway: &Arc<Gateway>,
    home: &Name,
    profile: &Profile,
    key_hash: &str,
    outcome: &CommandOutcome,
) {
    let keep_ms = profile.command_retention_ms;
    keep(gateway, key_hash.to_owned(), outcome.clone(), keep_ms);
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

/// The answer with a hash, from here or from a replica that the profile allows.
/// It may be on its way to them while the ledger knows already that it was given.
pub(super) async fn fetch(
    gateway: &Arc<Gateway>,
    home: &Name,
    profile: &Profile,
    key_hash: &str,
    answer_hash: &str,
) -> Option<CommandOutcome> {
    for look in 0..LOOKS {
        if look > 0 {
            time::sleep(LOOK_PAUSE).await;
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
    let kept = lookup(gateway, key_hash, answer_hash);
    if kept.is_some() {
        return kept;
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

/// Answers another host's call for an answer, if it is one.
pub(super) fn answer_call(gateway: &Gateway, command: &Payload) -> Option<PeerAnswer> {
    let verdict = match ciborium::from_reader(command.as_slice()).ok()? {
        LedgerOperation::StoreAnswer { key_hash, outcome, keep_ms } => {
            LedgerVerdict::Recorded(keep(gateway, key_hash, outcome, keep_ms))
        }
        LedgerOperation::FetchAnswer { key_hash, answer_hash } => {
            match lookup(gateway, &key_hash, &answer_hash) {
                Some(outcome) => LedgerVerdict::Answer(outcome),
                None => LedgerVerdict::Recorded(false),
            }
        }
        _ => return None,
    };
    Some(PeerAnswer::Outcome(Payload::from(machine::encode_verdict(&verdict))))
}

fn keep(gateway: &Gateway, key_hash: String, outcome: CommandOutcome, keep_ms: u64) -> bool {
    let now_ms = gateway.now_ms();
    let mut answers = gateway.commands.answers.lock().expect("lock");
    answers.store(now_ms, key_hash, outcome, now_ms.saturating_add(keep_ms))
}

fn lookup(gateway: &Gateway, key_hash: &str, answer_hash: &str) -> Option<CommandOutcome> {
    let answers = gateway.commands.answers.lock().expect("lock");
    answers.fetch(gateway.now_ms(), key_hash, answer_hash)
}

/// The other replicas of a home region in the places of a profile.
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
    let call = PeerCall::Propose { group: groups::name(home), command };
    match gateway.mesh().call(host, call, CALL_LIMIT).await {
        Ok(PeerAnswer::Outcome(verdict)) => machine::decode_verdict(&verdict),
        _ => None,
    }
}
