//! Proposals to a ledger group, from any host.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvillift_ledger::attempt::NoVerdict;
use anvillift_ledger::machine;
use anvillift_mesh::CallError;
use anvillift_replication::{GroupHandle, ProposeError};
use anvillift_schema::code::Code;
use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use tokio::time;

use super::groups;
use crate::gateway::Gateway;
use crate::inbox;

/// Hosts asked for one proposal at most.
const MAX_ASKED: usize = 8;

/// What came of asking one host.
enum Asked {
    Verdict(LedgerVerdict),
    /// The host did not take it; perhaps it knows who leads.
    NotTaken(Option<Name>),
    /// It may have been taken.
    Unknown,
}

/// Commits an operation in the ledger of a home region. Asks the replicas one
/// after the other until one takes it, and never a second after that.
pub(super) async fn propose(
    gateway: &Arc<Gateway>,
    home: &Name,
    operation: &LedgerOperation,
) -> Result<LedgerVerdict, NoVerdict> {
    let Some(group) = gateway.settings.ledgers.get(home) else {
        return Err(NoVerdict::NotTaken);
    };
    let group_name = groups::name(home);
    let command = machine::encode_operation(operation);
    let mut next = order(gateway, &group.voters);
    let mut refused = BTreeSet::new();
    for _ in 0..MAX_ASKED {
        let Some(host) = next.pop_front() else { break };
        if refused.contains(&host) {
            continue;
        }
        match ask(gateway, &host, &group_name, command.clone()).await {
            Asked::Verdict(verdict) => return Ok(verdict),
            Asked::Unknown => return Err(NoVerdict::Unknown),
            Asked::NotTaken(leader) => {
                refused.insert(host);
                if let Some(leader) = leader.filter(|leader| !refused.contains(leader)) {
                    next.push_front(leader);
                }
            }
        }
    }
    Err(NoVerdict::NotTaken)
}

/// The replicas, the own host or linked ones first.
fn order(gateway: &Gateway, voters: &[Name]) -> VecDeque<Name> {
    let linked = gateway.mesh().linked();
    let mut order: Vec<Name> = voters.to_vec();
    order.sort_by_key(|host| (host != gateway.host(), !linked.contains(host)));
    order.into()
}

async fn ask(gateway: &Arc<Gateway>, host: &Name, group: &Name, command: Vec<u8>) -> Asked {
    let limit = limit(gateway);
    if host == gateway.host() {
        return match gateway.commands.group(group) {
            Some(handle) => ask_here(handle, command, limit).await,
            None => Asked::NotTaken(None),
        };
    }
    let call = PeerCall::Propose { group: group.clone(), command: Payload::from(command) };
    match gateway.mesh().call(host, call, limit).await {
        Ok(PeerAnswer::Outcome(verdict)) => decode(&verdict),
        Ok(PeerAnswer::Refused { code, .. }) if code == Code::CommitUnknown.number() => {
            Asked::Unknown
        }
        Ok(PeerAnswer::Refused { leader, .. }) => Asked::NotTaken(leader),
        Ok(PeerAnswer::Leased { .. }) => Asked::Unknown,
        Err(CallError::NoLink { .. }) => Asked::NotTaken(None),
        Err(CallError::LinkBroke { .. } | CallError::Timeout { .. }) => Asked::Unknown,
    }
}

async fn ask_here(handle: &GroupHandle, command: Vec<u8>, limit: Duration) -> Asked {
    match time::timeout(limit, handle.propose(command)).await {
        Ok(Ok(verdict)) => decode(&verdict),
        Ok(Err(ProposeError::NotLeader { leader })) => Asked::NotTaken(Some(leader)),
        Ok(Err(ProposeError::NoLeader | ProposeError::Busy | ProposeError::Stopped)) => {
            Asked::NotTaken(None)
        }
        Ok(Err(ProposeError::Unknown)) | Err(_) => Asked::Unknown,
    }
}

/// Answers a proposal of another host.
pub(super) async fn answer_call(
    gateway: &Arc<Gateway>,
    group: &Name,
    command: &Payload,
) -> PeerAnswer {
    let Some(handle) = gateway.commands.group(group) else {
        return inbox::refused(Code::NoLeader);
    };
    match time::timeout(limit(gateway), handle.propose(command.to_vec())).await {
        Ok(Ok(verdict)) => PeerAnswer::Outcome(Payload::from(verdict)),
        Ok(Err(ProposeError::NotLeader { leader })) => refused(Code::NoLeader, Some(leader)),
        Ok(Err(ProposeError::NoLeader | ProposeError::Busy | ProposeError::Stopped)) => {
            refused(Code::NoLeader, None)
        }
        Ok(Err(ProposeError::Unknown)) | Err(_) => refused(Code::CommitUnknown, None),
    }
}

fn refused(code: Code, leader: Option<Name>) -> PeerAnswer {
    match inbox::refused(code) {
        PeerAnswer::Refused { code, retry_after_ms, .. } => {
            PeerAnswer::Refused { code, leader, retry_after_ms }
        }
        other => other,
    }
}

fn decode(verdict: &[u8]) -> Asked {
    machine::decode_verdict(verdict).map_or(Asked::Unknown, Asked::Verdict)
}

/// A proposal that has no verdict after an election timeout is given up.
fn limit(gateway: &Gateway) -> Duration {
    Duration::from_millis(gateway.settings.timing.election_timeout_ms)
}
