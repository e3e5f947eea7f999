//! Handles commands for the control log on a control host.

use std::sync::Arc;
use std::time::Duration;

use anvillift_consensus::MembershipChangeError;
use anvillift_control::{decode_answer, decode_command, encode};
use anvillift_replication::{GroupHandle, MembershipError, ProposeError};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::{ControlAnswer, ControlCommand, ReplicaReplacement};
use anvillift_schema::consensus::Voter;
use anvillift_schema::event::Event;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use tokio::time;

use crate::control::orders;
use crate::gateway::Gateway;

/// Time after which a refused host may send its command again, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;
/// Maximum number of attempts at a replacement step. A step is refused until the previous one is
/// committed.
const MAX_REPLACE_ATTEMPTS: u32 = 40;
const REPLACE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles a command if this host is the leader, else refuses it with the name of the leader.
pub(super) async fn handle_command(gateway: &Arc<Gateway>, command: &[u8]) -> PeerAnswer {
    let Some(handle) = gateway.control.handle() else { return refused(Code::NoLeader, None) };
    let result = match decode_command(command) {
        Some(ControlCommand::FindChange(id)) => find_change(gateway, &handle, &id).await,
        Some(ControlCommand::Replace(replacement)) => replace(&handle, replacement).await,
        Some(ControlCommand::Order(_)) => match propose(&handle, command).await {
            Ok(ControlAnswer::Ordered { fencing }) => orders::send(gateway, &handle, fencing).await,
            other => other,
        },
        _ => propose(&handle, command).await,
    };
    match result {
        Ok(answer) => PeerAnswer::Outcome(encode(&answer).into()),
        Err(ProposeError::NotLeader { leader }) => refused(Code::NoLeader, Some(leader)),
        Err(ProposeError::Unknown) => refused(Code::CommitUnknown, None),
        Err(_) => refused(Code::NoLeader, None),
    }
}

fn refused(code: Code, leader: Option<Name>) -> PeerAnswer {
    PeerAnswer::Refused { code: code.number(), leader, retry_after_ms: RETRY_AFTER_MS }
}

async fn propose(handle: &GroupHandle, command: &[u8]) -> Result<ControlAnswer, ProposeError> {
    let answer = handle.propose(command.to_vec()).await?;
    let answer = decode_answer(&answer).ok_or(ProposeError::Unknown)?;
    if let ControlAnswer::Accepted { revision } = answer {
        log::info!(
            event = Event::ChangeAccepted.number(), revision = revision;
            "configuration revision {revision} is accepted"
        );
    }
    Ok(answer)
}

/// Finds the revision of a change. Any replica that has applied the change can answer, but only the
/// leader, after a read barrier, can answer that the change was not accepted.
async fn find_change(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
    id: &Name,
) -> Result<ControlAnswer, ProposeError> {
    if let Some(revision) = gateway.control.machine().change_revision(id) {
        return Ok(ControlAnswer::Accepted { revision });
    }
    handle.read_barrier().await?;
    let machine = gateway.control.machine();
    Ok(match machine.change_revision(id) {
        Some(revision) => ControlAnswer::Accepted { revision },
        None => ControlAnswer::Missing { revision: machine.configuration().revision },
    })
}

/// Adds the new replica, and first removes the old one if it is on another host. The group itself
/// replaces an old replica on the same host.
async fn replace(
    handle: &GroupHandle,
    replacement: ReplicaReplacement,
) -> Result<ControlAnswer, ProposeError> {
    handle.read_barrier().await?;
    let ReplicaReplacement { new, old } = replacement;
    if let Some(old) = old.filter(|old| old.host != new.host)
        && handle.status().voters.voters.contains(&old)
    {
        run_step(handle, ReplacementStep::Remove(old)).await?;
    }
    let voters = handle.status().voters;
    if !voters.voters.contains(&new) && !voters.learners.contains(&new) {
        run_step(handle, ReplacementStep::Add(new)).await?;
    }
    Ok(ControlAnswer::Replicas(handle.status().voters))
}

/// A membership change of the control group, as a step of a replacement.
enum ReplacementStep {
    Remove(Voter),
    Add(Voter),
}

/// Retries a step until the previous one is committed.
async fn run_step(handle: &GroupHandle, step: ReplacementStep) -> Result<(), ProposeError> {
    for _ in 0..MAX_REPLACE_ATTEMPTS {
        let result = match &step {
            ReplacementStep::Remove(replica) => handle.remove_replica(replica.clone()).await,
            ReplacementStep::Add(replica) => handle.add_learner(replica.clone()).await,
        };
        match result {
            Ok(())
            | Err(MembershipError::Rejected { source: MembershipChangeError::AlreadyMember }) => {
                return Ok(());
            }
            Err(MembershipError::Stopped) => return Err(ProposeError::Stopped),
            Err(MembershipError::Rejected { .. }) => time::sleep(REPLACE_RETRY_DELAY).await,
        }
    }
    Err(ProposeError::Unknown)
}
