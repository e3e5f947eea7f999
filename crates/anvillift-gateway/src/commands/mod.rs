//! Commands, which take effect at most once.
//!
//! A command with an idempotency key runs in its home region: a host there reserves the key in the
//! region's ledger group, sends the command once and records the outcome. A host of another region
//! forwards the command directly to a host of the home region. A command without a key is sent
//! once. Start at [`run`].

mod answers;
mod complete_answer;
mod dispatch;
mod expire;
mod groups;
mod holder;
mod home;
mod proposal;
mod record_outcome;

use std::sync::{Arc, Mutex, OnceLock};

use anvillift_ledger::answers::AnswerStore;
use anvillift_schema::code::Code;
use anvillift_schema::consensus::ConsensusEnvelope;
use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;

use crate::answer::Answer;
use crate::forward;
use crate::gateway::Gateway;
use crate::in_flight::InFlight;
use crate::problem::Refusal;
use crate::request::Request;
use groups::Groups;
use home::HomeRegion;

/// State of the ledgers and of their commands on this host.
#[derive(Debug)]
pub(crate) struct Commands {
    /// Groups with a replica on this host; set by [`start`].
    groups: OnceLock<Groups>,
    /// Answers stored for replay.
    answers: Mutex<AnswerStore>,
    /// Outcomes that are waiting to be recorded in the ledger.
    pending_records: InFlight,
}

impl Default for Commands {
    fn default() -> Self {
        Self {
            groups: OnceLock::new(),
            answers: Mutex::default(),
            pending_records: InFlight::new(),
        }
    }
}

/// Starts the ledger groups of this host; called once, after the links have started.
pub(crate) async fn start(gateway: &Arc<Gateway>) {
    let groups = Groups::start(gateway);
    expire::start(gateway, &groups);
    let _ = gateway.commands.groups.set(groups);
}

/// Stops the ledger groups; called during a planned stop, once no request is in flight.
pub(crate) async fn stop(gateway: &Arc<Gateway>) {
    record_outcome::wait_for_records(gateway).await;
    if let Some(groups) = gateway.commands.groups.get() {
        groups.stop().await;
    }
}

/// Runs a command in its home region, or sends it once if it has no key.
pub(crate) async fn run(gateway: &Arc<Gateway>, request: Request) -> Answer {
    let id = request.id.clone();
    let Some(key) = request.idempotency_key.clone() else {
        return forward::serve(gateway, request).await;
    };
    match home::locate(gateway, &request) {
        Ok(HomeRegion::Local { home }) => {
            // A separate task, because a caller that disconnects must not cancel a command between
            // its steps.
            let gateway = gateway.clone();
            let task = tokio::spawn(async move {
                let _in_flight = gateway.in_flight.enter();
                dispatch::run(&gateway, request, &home, &key).await
            });
            match task.await {
                Ok(answer) => answer,
                Err(_) => Refusal::from(Code::Internal).answer(Some(&id)),
            }
        }
        Ok(HomeRegion::Remote { home }) => home::forward(gateway, request, home).await,
        Err(refusal) => refusal.answer(Some(&id)),
    }
}

/// Passes a consensus message to its ledger group; messages of unknown groups are dropped.
pub(crate) fn receive_consensus(gateway: &Arc<Gateway>, from: &Name, envelope: ConsensusEnvelope) {
    if let Some(handle) = gateway.commands.group(&envelope.group) {
        handle.receive(from.clone(), envelope);
    }
}

/// Handles an operation that another host proposes to a ledger group.
pub(crate) async fn propose(gateway: &Arc<Gateway>, group: &Name, command: &Payload) -> PeerAnswer {
    match answers::handle_call(gateway, command) {
        Some(answer) => answer,
        None => proposal::handle_call(gateway, group, command).await,
    }
}

/// Raises the highest fencing number of an upstream in the ledger of this host's region. `false` if
/// the ledger has a higher one, `None` if the ledger did not answer.
#[allow(dead_code, reason = "for orders to upstreams that do not check the fencing number")]
pub(crate) async fn fence(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> Option<bool> {
    let operation = LedgerOperation::Fence { upstream: upstream.clone(), fencing };
    match proposal::propose(gateway, gateway.region(), &operation).await {
        Ok(LedgerVerdict::Recorded(is_raised)) => Some(is_raised),
        _ => None,
    }
}

impl Commands {
    fn group(&self, group: &Name) -> Option<&anvillift_replication::GroupHandle> {
        self.groups.get()?.get(group)
    }
}
