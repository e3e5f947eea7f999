//! Commands, which take effect at most once.
//!
//! A command with an idempotency key runs in its home region: a host there
//! reserves the key in the region's ledger group, sends the command once and
//! records the outcome. A host elsewhere hands it over in one region hop. A
//! command without a key is sent once. Start at [`run`].

mod answers;
mod dispatch;
mod expire;
mod groups;
mod holder;
mod home;
mod proposal;
mod settle;

use std::sync::{Arc, Mutex, OnceLock};

use anvillift_ledger::answers::Answers;
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
use home::Place;

/// The ledger's part of a gateway.
#[derive(Debug)]
pub(crate) struct Commands {
    /// Groups of which the own host is a replica; set by [`start`].
    groups: OnceLock<Groups>,
    /// Answers kept for replay.
    answers: Mutex<Answers>,
    /// Outcomes that the ledger has not recorded yet.
    settling: InFlight,
}

impl Default for Commands {
    fn default() -> Self {
        Self { groups: OnceLock::new(), answers: Mutex::default(), settling: InFlight::new() }
    }
}

/// Starts the ledger groups of this host; called once, when the links are up.
pub(crate) async fn start(gateway: &Arc<Gateway>) {
    let groups = Groups::start(gateway);
    expire::start(gateway, &groups);
    let _ = gateway.commands.groups.set(groups);
}

/// Stops the ledger groups; called when a planned stop has nothing left in flight.
pub(crate) async fn stop(gateway: &Arc<Gateway>) {
    settle::wait(gateway).await;
    if let Some(groups) = gateway.commands.groups.get() {
        groups.stop().await;
    }
}

/// Runs a command.
pub(crate) async fn run(gateway: &Arc<Gateway>, request: Request) -> Answer {
    let id = request.id.clone();
    let Some(key) = request.idempotency_key.clone() else {
        return forward::serve(gateway, request).await;
    };
    match home::place(gateway, &request) {
        Ok(Place::Here { home }) => {
            // A caller that leaves must not end the command between its steps.
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
        Ok(Place::Elsewhere { home }) => home::forward(gateway, request, home).await,
        Err(refusal) => refusal.answer(Some(&id)),
    }
}

/// Takes a message of a ledger group.
pub(crate) fn take_consensus(gateway: &Arc<Gateway>, from: &Name, envelope: ConsensusEnvelope) {
    if let Some(handle) = gateway.commands.group(&envelope.group) {
        handle.receive(from.clone(), envelope);
    }
}

/// Takes an operation of another host for a ledger group.
pub(crate) async fn propose(gateway: &Arc<Gateway>, group: &Name, command: &Payload) -> PeerAnswer {
    match answers::answer_call(gateway, command) {
        Some(answer) => answer,
        None => proposal::answer_call(gateway, group, command).await,
    }
}

/// Raises the highest fencing number seen for an upstream in the own region's
/// ledger; false if a higher one was seen, `None` if the ledger cannot tell.
#[allow(dead_code, reason = "for orders to upstreams that do not check the number")]
pub(crate) async fn fence(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> Option<bool> {
    let operation = LedgerOperation::Fence { upstream: upstream.clone(), fencing };
    match proposal::propose(gateway, gateway.region(), &operation).await {
        Ok(LedgerVerdict::Recorded(taken)) => Some(taken),
        _ => None,
    }
}

impl Commands {
    fn group(&self, group: &Name) -> Option<&anvillift_replication::GroupHandle> {
        self.groups.get()?.get(group)
    }
}
