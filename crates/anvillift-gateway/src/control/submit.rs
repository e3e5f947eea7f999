//! Sends commands to the leader of control, from any host.

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

/// Time after which a submission calls no further host. It is shorter than the default timeout of
/// the command-line tool, 10 s, so that the tool gets an answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of the call to one host.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which an operator may submit again, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// Reply of one control host, or of all of them in one round.
enum Reply {
    Answer(ControlAnswer),
    /// The host does not lead. Contains the leader, if the host named one.
    NotLeader(Option<Name>),
    /// The command may have been accepted.
    Unknown,
}

/// Submits a command and returns the answer. A command whose answer is lost is sent again; this is
/// safe, because each command carries an id or only reads.
pub(super) async fn submit(
    gateway: &Arc<Gateway>,
    command: &ControlCommand,
) -> Result<ControlAnswer, Refusal> {
    let command = Payload::from(encode(command));
    let deadline = time::Instant::now() + SUBMIT_TIMEOUT;
    let mut may_be_accepted = false;
    loop {
        match try_control_hosts(gateway, &command, deadline).await {
            Reply::Answer(answer) => return Ok(answer),
            Reply::NotLeader(_) if !may_be_accepted => {
                return Err(Refusal::retry_after(Code::NoLeader, RETRY_AFTER_MS));
            }
            Reply::NotLeader(_) => (),
            Reply::Unknown => may_be_accepted = true,
        }
        if time::Instant::now() >= deadline {
            return Err(Refusal::retry_after(Code::CommitUnknown, RETRY_AFTER_MS));
        }
        time::sleep(RETRY_DELAY).await;
    }
}

/// Sends the command to the control hosts one after the other; a host that another one names as
/// leader comes next. No host is called after `deadline`, and a call of another host ends then:
/// with many slow hosts, one round of full calls would exceed [`SUBMIT_TIMEOUT`].
async fn try_control_hosts(
    gateway: &Arc<Gateway>,
    command: &Payload,
    deadline: time::Instant,
) -> Reply {
    let mut candidates = control_hosts(gateway);
    let mut tried: Vec<Name> = Vec::new();
    let mut unknown = false;
    while let Some(host) = candidates.pop() {
        if tried.contains(&host) {
            continue;
        }
        tried.push(host.clone());
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        if remaining.is_zero() {
            // A host that is not asked may have accepted the command.
            return Reply::Unknown;
        }
        match send_to(gateway, &host, command, remaining).await {
            Reply::Answer(answer) => return Reply::Answer(answer),
            Reply::NotLeader(leader) => candidates.extend(leader),
            Reply::Unknown => unknown = true,
        }
    }
    if unknown { Reply::Unknown } else { Reply::NotLeader(None) }
}

/// The control hosts in reverse order of preference: the last is this host, if it is a control
/// host; before it come the live hosts of its region.
fn control_hosts(gateway: &Gateway) -> Vec<Name> {
    let linked = gateway.mesh().linked_hosts();
    let snapshot = gateway.snapshot.load();
    let voters = gateway.settings.control.voters.iter();
    let mut hosts: Vec<Name> = voters.filter(|host| linked.contains(host)).cloned().collect();
    hosts.sort_by_key(|host| {
        let view = snapshot.view.hosts.get(host).filter(|view| view.alive);
        let is_same_region = view.is_some_and(|view| view.record.region == *gateway.region());
        (view.is_some(), is_same_region)
    });
    if gateway.control.handle().is_some() {
        hosts.push(gateway.host().clone());
    }
    hosts
}

async fn send_to(
    gateway: &Arc<Gateway>,
    host: &Name,
    command: &Payload,
    remaining: Duration,
) -> Reply {
    let answer = if host == gateway.host() {
        leader::handle_command(gateway, command).await
    } else {
        let call = PeerCall::Propose { group: Name::from(GROUP), command: command.clone() };
        match gateway.mesh().call(host, call, CALL_TIMEOUT.min(remaining)).await {
            Ok(answer) => answer,
            Err(anvillift_mesh::CallError::NoLink { .. }) => return Reply::NotLeader(None),
            Err(_) => return Reply::Unknown,
        }
    };
    match answer {
        PeerAnswer::Outcome(bytes) => decode_answer(&bytes).map_or(Reply::Unknown, Reply::Answer),
        PeerAnswer::Refused { code, leader, .. } if code == Code::NoLeader.number() => {
            Reply::NotLeader(leader)
        }
        PeerAnswer::Refused { .. } | PeerAnswer::Leased { .. } => Reply::Unknown,
    }
}
