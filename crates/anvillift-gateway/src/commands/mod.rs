//! Commands, which take effect at most once.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::consensus::ConsensusEnvelope;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;

use crate::answer::Answer;
use crate::forward;
use crate::gateway::Gateway;
use crate::inbox;
use crate::request::Request;

/// The ledger's part of a gateway.
#[derive(Debug, Default)]
pub(crate) struct Commands {}

/// Starts the ledger groups of this host; called once, when the links are up.
pub(crate) async fn start(_gateway: &Arc<Gateway>) {}

/// Stops the ledger groups; called when a planned stop has nothing left in flight.
pub(crate) async fn stop(_gateway: &Arc<Gateway>) {}

/// Runs a command; `forward::serve` sends it once and never again.
pub(crate) async fn run(gateway: &Arc<Gateway>, request: Request) -> Answer {
    forward::serve(gateway, request).await
}

/// Takes a message of a ledger group.
pub(crate) fn take_consensus(_gateway: &Arc<Gateway>, _from: &Name, _envelope: ConsensusEnvelope) {}

/// Proposes a command to a ledger group.
pub(crate) async fn propose(
    _gateway: &Arc<Gateway>,
    _group: &Name,
    _command: &Payload,
) -> PeerAnswer {
    inbox::refused(Code::NoLeader)
}
