//! Commands on their way to the leader, from any host.

use std::sync::Arc;
use std::time::Duration;

use anvillift_control::{decode_answer, encode};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::{ControlAnswer, ControlCommand};
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use tokio::time;

use crate::control::{GROUP, leader};
use crate::gateway::Gateway;
use crate::problem::Refusal;

/// Time for the whole submission.
const SUBMIT_LIMIT: Duration = Duration::from_secs(8);
/// Time for one host to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// When an operator may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// What one host said.
enum Reply {
    Answer(ControlAnswer),
    /// It does not lead; who does, if it knows.
    Elsewhere(Option<Name>),
    /// The command may have been taken.
    Unknown,
}

/// Submits a command and gives the answer. Commands carry an id or are reads,
/// so one whose answer is lost is sent again.
pub(super) async fn submit(
    gateway: &Arc<Gateway>,
    command: &ControlCommand,
) -> Result<ControlAnswer, Refusal> {
    let command = Payload::from(encode(command));
    let limit = time::Instant::now() + SUBMIT_LIMIT;
    let mut maybe_taken = false;
    loop {
        match round(gateway, &command).await {
            Reply::Answer(answer) => return Ok(answer),
            Reply::Elsewhere(_) if !maybe_taken => {
                return Err(Refusal::retry_after(Code::NoLeader, RETRY_AFTER_MS));
            }
            Reply::Elsewhere(_) => (),
            Reply::Unknown => maybe_taken = true,
        }
        if time::Instant::now() >= limit {
            return Err(Refusal::retry_after(Code::CommitUnknown, RETRY_AFTER_MS));
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Asks the control hosts, the one named as leader first.
async fn round(gateway: &Arc<Gateway>, command: &Payload) -> Reply {
    let mut candidates = hosts(gateway);
    let mut asked: Vec<Name> = Vec::new();
    let mut unknown = false;
    while let Some(host) = candidates.pop() {
        if asked.contains(&host) {
            continue;
        }
        asked.push(host.clone());
        match ask(gateway, &host, command).await {
            Reply::Answer(answer) => return Reply::Answer(answer),
            Reply::Elsewhere(leader) => candidates.extend(leader),
            Reply::Unknown => unknown = true,
        }
    }
    if unknown { Reply::Unknown } else { Reply::Elsewhere(None) }
}

/// The control hosts, of which the last is asked first: the own one, if it is
/// one, then those alive in the own region.
fn hosts(gateway: &Gateway) -> Vec<Name> {
    let linked = gateway.mesh().linked();
    let snapshot = gateway.snapshot.load();
    let voters = gateway.settings.control.voters.iter();
    let mut hosts: Vec<Name> = voters.filter(|host| linked.contains(host)).cloned().collect();
    hosts.sort_by_key(|host| {
        let known = snapshot.view.hosts.get(host).filter(|known| known.alive);
        let near = known.is_some_and(|known| known.record.region == *gateway.region());
        (known.is_some(), near)
    });
    if gateway.control.handle().is_some() {
        hosts.push(gateway.host().clone());
    }
    hosts
}

async fn ask(gateway: &Arc<Gateway>, host: &Name, command: &Payload) -> Reply {
    let answer = if host == gateway.host() {
        leader::answer(gateway, command).await
    } else {
        let call = PeerCall::Propose { group: Name::from(GROUP), command: command.clone() };
        match gateway.mesh().call(host, call, CALL_TIMEOUT).await {
            Ok(answer) => answer,
            Err(anvillift_mesh::CallError::NoLink { .. }) => return Reply::Elsewhere(None),
            Err(_) => return Reply::Unknown,
        }
    };
    match answer {
        PeerAnswer::Outcome(bytes) => decode_answer(&bytes).map_or(Reply::Unknown, Reply::Answer),
        PeerAnswer::Refused { code, leader, .. } if code == Code::NoLeader.number() => {
            Reply::Elsewhere(leader)
        }
        PeerAnswer::Refused { .. } | PeerAnswer::Leased { .. } => Reply::Unknown,
    }
}
