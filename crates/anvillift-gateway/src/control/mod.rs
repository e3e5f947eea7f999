//! The configuration on this host, and control's group on hosts with a disk.
//!
//! Changes, orders and replacements of replicas are commands that reach the
//! leader from any host (`submit`, `leader`). Each accepted revision spreads
//! from the control hosts through one relay a data centre (`distribution`);
//! what a host holds only goes forward. A host without a disk is not ready
//! before it has asked around (`readiness`). Start at [`Control`].

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

/// Name of control's group.
pub(crate) const GROUP: &str = "control";

/// Starts control; called once, when the links are up.
pub(crate) async fn start(gateway: &Arc<Gateway>) {
    saved::take_over(gateway);
    group::start(gateway);
    let control = &gateway.control;
    control.keep(tokio::spawn(distribution::run(Arc::downgrade(gateway))));
    control.keep(tokio::spawn(saved::run(Arc::downgrade(gateway))));
    control.keep(tokio::spawn(readiness::run(Arc::downgrade(gateway))));
}

/// Hands over leadership and syncs; called when a planned stop has nothing left in flight.
pub(crate) async fn stop(gateway: &Arc<Gateway>) {
    if let Some(handle) = gateway.control.handle() {
        handle.step_down().await;
        handle.stop().await;
    }
    saved::save_newest(gateway);
    gateway.control.end_tasks();
}

/// Takes a message of control's group; false if it is another group's.
pub(crate) fn take_consensus(
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

/// Answers a host that asks for the configuration after a revision.
pub(crate) fn take_request(gateway: &Arc<Gateway>, from: &Name, after_revision: u64) {
    distribution::answer(gateway, from, after_revision);
}

/// Takes deltas or the whole configuration.
pub(crate) fn take_update(gateway: &Arc<Gateway>, from: &Name, update: ConfigurationUpdate) {
    distribution::take(gateway, from, update);
}

/// Proposes a command to control's group; `None` if the group is another.
pub(crate) async fn propose(
    gateway: &Arc<Gateway>,
    group: &Name,
    command: &Payload,
) -> Option<PeerAnswer> {
    if group.as_str() != GROUP {
        return None;
    }
    Some(leader::answer(gateway, command).await)
}

/// Promises to pass on no older order to an upstream.
pub(crate) fn note_order(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> PeerAnswer {
    orders::note(gateway, upstream, fencing)
}

/// Passes an order on to an upstream of the own data centre.
pub(crate) async fn dispatch_order(gateway: &Arc<Gateway>, order: FencedOrder) -> PeerAnswer {
    orders::deliver(gateway, order).await
}
