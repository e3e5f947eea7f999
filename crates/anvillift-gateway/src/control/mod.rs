//! The configuration on this host, and the replica of the control log on hosts with a disk.
//!
//! Changes, orders and replacements of replicas are commands that reach the leader from any host
//! (`submit`, `leader`). Each accepted revision is distributed from the control hosts through one
//! relay per data centre (`distribution`); the revision that a host holds never decreases. A
//! starting host is not ready before it has requested newer revisions from others (`readiness`).
//! Start at [`Control`].

mod distribution;
mod endpoints;
mod group;
mod leader;
mod orders;
mod readiness;
mod saved;
mod state;
mod status;
mod submit;

use std::sync::Arc;

use anvillift_schema::configuration::ConfigurationUpdate;
use anvillift_schema::consensus::ConsensusEnvelope;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::FencedOrder;

pub(crate) use endpoints::{
    MAX_CHANGE_BYTES, change_status, control_status, replace, submit_change, submit_order,
};
pub(crate) use state::Control;

use crate::gateway::Gateway;

/// Name of the consensus group of control.
pub(crate) const GROUP: &str = "control";

/// Starts control; called once, after the links have started.
pub(crate) async fn start(gateway: &Arc<Gateway>) {
    saved::restore(gateway);
    group::start(gateway);
    let control = &gateway.control;
    control.add_task(tokio::spawn(distribution::run(Arc::downgrade(gateway))));
    control.add_task(tokio::spawn(saved::run(Arc::downgrade(gateway))));
    control.add_task(tokio::spawn(readiness::run(Arc::downgrade(gateway))));
}

/// Hands over leadership and saves the configuration; called during a planned stop, once no
/// request is in flight.
pub(crate) async fn stop(gateway: &Arc<Gateway>) {
    if let Some(handle) = gateway.control.handle() {
        handle.step_down().await;
        handle.stop().await;
    }
    saved::save_newest(gateway);
    gateway.control.end_tasks();
}

/// Passes a consensus message to the replica of the control log; `false` if it is for another
/// group.
pub(crate) fn receive_consensus(
    gateway: &Arc<Gateway>,
    from: &Name,
    envelope: &ConsensusEnvelope,
) -> bool {
    if envelope.group.as_str() != GROUP {
        return false;
    }
    if let Some(handle) = gateway.control.handle() {
        handle.receive(from.clone(), envelope.clone());
    }
    true
}

/// Handles the request of a host for the configuration after a revision.
pub(crate) fn handle_request(gateway: &Arc<Gateway>, from: &Name, after_revision: u64) {
    distribution::handle_request(gateway, from, after_revision);
}

/// Receives an update of the configuration, as deltas or as a whole.
pub(crate) fn receive_update(gateway: &Arc<Gateway>, from: &Name, update: ConfigurationUpdate) {
    distribution::receive_update(gateway, from, update);
}

/// Handles a command that another host proposes to control; `None` if it is for another group.
pub(crate) async fn propose(
    gateway: &Arc<Gateway>,
    group: &Name,
    command: &Payload,
) -> Option<PeerAnswer> {
    if group.as_str() != GROUP {
        return None;
    }
    Some(leader::handle_command(gateway, command).await)
}

/// Promises to send no older order to an upstream, or refuses if this host has sent or promised a
/// newer one.
pub(crate) fn note_order(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> PeerAnswer {
    orders::promise(gateway, upstream, fencing)
}

/// Sends an order to an upstream of this host's data centre.
pub(crate) async fn dispatch_order(gateway: &Arc<Gateway>, order: FencedOrder) -> PeerAnswer {
    orders::deliver(gateway, order).await
}
