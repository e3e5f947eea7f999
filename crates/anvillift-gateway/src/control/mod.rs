//! The configuration state machine on this host.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ConfigurationUpdate;
use anvillift_schema::consensus::ConsensusEnvelope;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::FencedOrder;

use crate::gateway::Gateway;
use crate::inbox;

/// Control's part of a gateway.
#[derive(Debug, Default)]
pub(crate) struct Control {}

/// Starts control; called once, when the links are up.
pub(crate) async fn start(_gateway: &Arc<Gateway>) {}

/// Hands over leadership and syncs; called when a planned stop has nothing left in flight.
pub(crate) async fn stop(_gateway: &Arc<Gateway>) {}

/// Takes a message of control's group; false if it is another group's.
pub(crate) fn take_consensus(
    _gateway: &Arc<Gateway>,
    _from: &Name,
    _envelope: &ConsensusEnvelope,
) -> bool {
    false
}

/// Answers a host that asks for the configuration after a revision.
pub(crate) fn take_request(_gateway: &Arc<Gateway>, _from: &Name, _after_revision: u64) {}

/// Takes deltas or the whole configuration.
pub(crate) fn take_update(gateway: &Arc<Gateway>, _from: &Name, update: ConfigurationUpdate) {
    if let ConfigurationUpdate::Whole(configuration) = update {
        gateway.apply_configuration(configuration);
    }
}

/// Proposes a command to control's group; `None` if the group is another.
pub(crate) async fn propose(
    _gateway: &Arc<Gateway>,
    _group: &Name,
    _command: &Payload,
) -> Option<PeerAnswer> {
    None
}

/// Passes an order on to an upstream that does not check fencing numbers.
pub(crate) async fn dispatch_order(_gateway: &Arc<Gateway>, _order: FencedOrder) -> PeerAnswer {
    inbox::refused(Code::NoLeader)
}
