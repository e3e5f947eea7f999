//! Commands on a control host.

use std::sync::Arc;
use std::time::Duration;

use anvillift_consensus::ChangeError;
use anvillift_control::{decode_answer, decode_command, encode};
use anvillift_replication::{GroupHandle, ProposeError, ReplaceError};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::{ControlAnswer, ControlCommand, ReplicaReplacement};
use anvillift_schema::consensus::Voter;
use anvillift_schema::event::Event;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use tokio::time;

use crate::control::orders;
use crate::gateway::Gateway;

/// When a refused host may ask again, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;
/// Tries of a step that waits for the one before it to be committed.
const REPLACE_TRIES: u32 = 40;
const REPLACE_PAUSE: Duration = Duration::from_millis(50);

/// Runs a command here, if this host leads.
pub(super) async fn answer(gateway: &Arc<Gateway>, command: &[u8]) -> PeerAnswer {
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
            "revision {revision} is accepted"
        );
    }
    Ok(answer)
}

/// The revision of a change: an accepted one is known for good, but only the
/// leader can say that there is none.
async fn find_change(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
    id: &Name,
) -> Result<ControlAnswer, ProposeError> {
    if let Some(revision) = gateway.control.machine().revision_of(id) {
        return Ok(ControlAnswer::Accepted { revision });
    }
    handle.read_barrier().await?;
    let machine = gateway.control.machine();
    Ok(match machine.revision_of(id) {
        Some(revision) => ControlAnswer::Accepted { revision },
        None => ControlAnswer::Missing { revision: machine.configuration().revision },
    })
}

/// Removes the old replica when the new one has another host, and adds the new
/// one; a new replica of the same host takes the old one's place by itself.
async fn replace(
    handle: &GroupHandle,
    replacement: ReplicaReplacement,
) -> Result<ControlAnswer, ProposeError> {
    handle.read_barrier().await?;
    let ReplicaReplacement { new, old } = replacement;
    if let Some(old) = old.filter(|old| old.host != new.host)
        && handle.status().voters.voters.contains(&old)
    {
        settled(handle, Step::Remove(old)).await?;
    }
    let voters = handle.status().voters;
    if !voters.voters.contains(&new) && !voters.learners.contains(&new) {
        settled(handle, Step::Add(new)).await?;
    }
    Ok(ControlAnswer::Replicas(handle.status().voters))
}

/// A step of a replacement.
enum Step {
    Remove(Voter),
    Add(Voter),
}

/// Tries a step until the one before it is committed.
async fn settled(handle: &GroupHandle, step: Step) -> Result<(), ProposeError> {
    for _ in 0..REPLACE_TRIES {
        let tried = match &step {
            Step::Remove(replica) => handle.remove(replica.clone()).await,
            Step::Add(replica) => handle.add_learner(replica.clone()).await,
        };
        match tried {
            Ok(()) | Err(ReplaceError::Refused { source: ChangeError::AlreadyMember }) => {
                return Ok(());
            }
            Err(ReplaceError::Stopped) => return Err(ProposeError::Stopped),
            Err(ReplaceError::Refused { .. }) => time::sleep(REPLACE_PAUSE).await,
        }
    }
    Err(ProposeError::Unknown)
}
