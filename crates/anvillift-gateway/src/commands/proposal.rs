//! Proposals to a ledger group, from any host.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvillift_ledger::attempt::ProposalError;
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
use crate::mesh_handlers;

/// Maximum number of hosts to which one proposal is sent.
const MAX_HOSTS_TRIED: usize = 8;

/// Result of sending a proposal to one host.
enum ProposalResult {
    Committed(LedgerVerdict),
    /// The host did not accept the proposal. Contains the leader, if the host named one.
    NotAccepted(Option<Name>),
    /// The proposal may have been accepted.
    Unknown,
}

/// Commits an operation in the ledger of a home region. The replicas are tried one after the other
/// until one accepts or may have accepted the operation; no other one is tried after that.
pub(super) async fn propose(
    gateway: &Arc<Gateway>,
    home: &Name,
    operation: &LedgerOperation,
) -> Result<LedgerVerdict, ProposalError> {
    let Some(group) = gateway.settings.ledgers.get(home) else {
        return Err(ProposalError::Rejected);
    };
    let group_name = groups::group_name(home);
    let command = machine::encode_operation(operation);
    let mut candidates = ordered_voters(gateway, &group.voters);
    let mut refused = BTreeSet::new();
    for _ in 0..MAX_HOSTS_TRIED {
        let Some(host) = candidates.pop_front() else { break };
        if refused.contains(&host) {
            continue;
        }
        match propose_to(gateway, &host, &group_name, command.clone()).await {
            ProposalResult::Committed(verdict) => return Ok(verdict),
            ProposalResult::Unknown => return Err(ProposalError::Unknown),
            ProposalResult::NotAccepted(leader) => {
                refused.insert(host);
                if let Some(leader) = leader.filter(|leader| !refused.contains(leader)) {
                    candidates.push_front(leader);
                }
            }
        }
    }
    Err(ProposalError::Rejected)
}

/// Orders the replicas: this host first, then hosts with a link, then the others.
fn ordered_voters(gateway: &Gateway, voters: &[Name]) -> VecDeque<Name> {
    let linked = gateway.mesh().linked_hosts();
    let mut order: Vec<Name> = voters.to_vec();
    order.sort_by_key(|host| (host != gateway.host(), !linked.contains(host)));
    order.into()
}

async fn propose_to(
    gateway: &Arc<Gateway>,
    host: &Name,
    group: &Name,
    command: Vec<u8>,
) -> ProposalResult {
    let timeout = proposal_timeout(gateway);
    if host == gateway.host() {
        return match gateway.commands.group(group) {
            Some(handle) => propose_locally(handle, command, timeout).await,
            None => ProposalResult::NotAccepted(None),
        };
    }
    let call = PeerCall::Propose { group: group.clone(), command: Payload::from(command) };
    match gateway.mesh().call(host, call, timeout).await {
        Ok(PeerAnswer::Outcome(verdict)) => decode(&verdict),
        Ok(PeerAnswer::Refused { code, .. }) if code == Code::CommitUnknown.number() => {
            ProposalResult::Unknown
        }
        Ok(PeerAnswer::Refused { leader, .. }) => ProposalResult::NotAccepted(leader),
        Ok(PeerAnswer::Leased { .. }) => ProposalResult::Unknown,
        Err(CallError::NoLink { .. }) => ProposalResult::NotAccepted(None),
        Err(CallError::LinkLost { .. } | CallError::Timeout { .. }) => ProposalResult::Unknown,
    }
}

async fn propose_locally(
    handle: &GroupHandle,
    command: Vec<u8>,
    timeout: Duration,
) -> ProposalResult {
    match time::timeout(timeout, handle.propose(command)).await {
        Ok(Ok(verdict)) => decode(&verdict),
        Ok(Err(ProposeError::NotLeader { leader })) => ProposalResult::NotAccepted(Some(leader)),
        Ok(Err(ProposeError::NoLeader | ProposeError::Busy | ProposeError::Stopped)) => {
            ProposalResult::NotAccepted(None)
        }
        Ok(Err(ProposeError::Unknown)) | Err(_) => ProposalResult::Unknown,
    }
}

/// Proposes an operation of another host on the local replica of the group.
pub(super) async fn handle_call(
    gateway: &Arc<Gateway>,
    group: &Name,
    command: &Payload,
) -> PeerAnswer {
    let Some(handle) = gateway.commands.group(group) else {
        return mesh_handlers::refused(Code::NoLeader);
    };
    match time::timeout(proposal_timeout(gateway), handle.propose(command.to_vec())).await {
        Ok(Ok(verdict)) => PeerAnswer::Outcome(Payload::from(verdict)),
        Ok(Err(ProposeError::NotLeader { leader })) => refused(Code::NoLeader, Some(leader)),
        Ok(Err(ProposeError::NoLeader | ProposeError::Busy | ProposeError::Stopped)) => {
            refused(Code::NoLeader, None)
        }
        Ok(Err(ProposeError::Unknown)) | Err(_) => refused(Code::CommitUnknown, None),
    }
}

fn refused(code: Code, leader: Option<Name>) -> PeerAnswer {
    match mesh_handlers::refused(code) {
        PeerAnswer::Refused { code, retry_after_ms, .. } => {
            PeerAnswer::Refused { code, leader, retry_after_ms }
        }
        other => other,
    }
}

fn decode(verdict: &[u8]) -> ProposalResult {
    machine::decode_verdict(verdict).map_or(ProposalResult::Unknown, ProposalResult::Committed)
}

/// Time to wait for a proposal: one election timeout, after which the leader may have changed.
fn proposal_timeout(gateway: &Gateway) -> Duration {
    Duration::from_millis(gateway.settings.timing.election_timeout_ms)
}
