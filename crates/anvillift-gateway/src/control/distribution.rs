//! Distribution of configurations between hosts.
//!
//! In each data centre one host, the relay, requests the configuration from a control host, and the
//! other hosts request it from the relay. A host sends each newer revision at once to the hosts
//! that sent it a request within [`SUBSCRIPTION_MS`], so the periodic requests only recover from
//! lost messages. A host that sees a higher revision on another host also requests it from that
//! host, so that a relay or control host that is frozen or disconnected does not delay the others.

use std::sync::{Arc, Weak};
use std::time::Duration;

use anvillift_schema::configuration::{Configuration, ConfigurationUpdate};
use anvillift_schema::link::PeerMessage;
use anvillift_schema::name::Name;
use tokio::time;

use crate::control::state::Subscriber;
use crate::gateway::Gateway;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a host that sent a request gets newer revisions, in milliseconds.
const SUBSCRIPTION_MS: u64 = 10_000;

/// Requests newer revisions until the task is aborted.
pub(super) async fn run(gateway: Weak<Gateway>) {
    let mut interval = time::interval(REQUEST_INTERVAL);
    let mut round = 0;
    loop {
        interval.tick().await;
        let Some(gateway) = gateway.upgrade() else { return };
        for host in sources(&gateway, round) {
            request_newer(&gateway, &host);
        }
        round += 1;
    }
}

/// Requests from a host the revisions after the one that this host holds.
pub(super) fn request_newer(gateway: &Gateway, host: &Name) {
    let after_revision = gateway.control.daemon_configuration().revision();
    gateway.mesh().send(host, PeerMessage::ConfigurationRequest { after_revision });
}

/// Hosts to send a request to in a round: the relay or a control host, and the nearest host with a
/// higher revision.
fn sources(gateway: &Gateway, round: usize) -> Vec<Name> {
    let own_revision = gateway.control.daemon_configuration().revision();
    let snapshot = gateway.snapshot.load();
    let others = || snapshot.view.hosts.values().filter(|host| host.record.host != *gateway.host());
    let alive = || others().filter(|host| host.alive);
    let mut same_data_centre =
        alive().filter(|host| host.record.data_centre == *gateway.data_centre());
    let relay = same_data_centre.find(|host| host.record.host < *gateway.host());
    let mut sources = Vec::new();
    match relay {
        Some(relay) => sources.push(relay.record.host.clone()),
        None => sources.extend(control_host(gateway, round)),
    }
    let ahead = alive().filter(|host| host.record.revision > own_revision);
    let nearest = ahead.min_by_key(|host| {
        let record = &host.record;
        (record.data_centre != *gateway.data_centre(), record.region != *gateway.region())
    });
    sources.extend(nearest.map(|host| host.record.host.clone()));
    sources.dedup();
    sources
}

/// Chooses a control host that has a link, a different one each round.
fn control_host(gateway: &Gateway, round: usize) -> Option<Name> {
    let linked = gateway.mesh().linked_hosts();
    let voters = gateway.settings.control.voters.iter();
    let hosts: Vec<&Name> = voters.filter(|host| linked.contains(host)).collect();
    hosts.get(round % hosts.len().max(1)).map(|&host| host.clone())
}

/// Handles the request of a host, and subscribes it to newer revisions.
pub(super) fn handle_request(gateway: &Arc<Gateway>, from: &Name, after_revision: u64) {
    let requested_ms = gateway.now_ms();
    let subscriber = Subscriber { revision: after_revision, requested_ms };
    gateway.control.subscribers().insert(from.clone(), subscriber);
    send_newer(gateway, from, after_revision);
}

fn send_newer(gateway: &Gateway, to: &Name, after_revision: u64) {
    let (update, revision) = {
        let daemon_configuration = gateway.control.daemon_configuration();
        (daemon_configuration.update_after(after_revision), daemon_configuration.revision())
    };
    let Some(update) = update else { return };
    if gateway.mesh().send(to, PeerMessage::ConfigurationUpdate(update))
        && let Some(subscriber) = gateway.control.subscribers().get_mut(to)
    {
        subscriber.revision = subscriber.revision.max(revision);
    }
}

/// Receives an update and, if it is newer, puts it in force and sends it to the subscribers.
pub(super) fn receive_update(gateway: &Arc<Gateway>, from: &Name, update: ConfigurationUpdate) {
    let newer = {
        let mut daemon_configuration = gateway.control.daemon_configuration();
        daemon_configuration.apply(update).then(|| daemon_configuration.configuration().clone())
    };
    let Some(configuration) = newer else { return };
    apply(gateway, &configuration);
    gateway.control.changed.notify_waiters();
    gateway.control.changed.notify_one();
    notify_subscribers(gateway, from);
}

/// Puts a configuration in force. If two are applied at the same time, the newer one stays.
fn apply(gateway: &Arc<Gateway>, configuration: &Arc<Configuration>) {
    let _guard = gateway.control.applying();
    if configuration.revision > gateway.configuration.load().revision {
        gateway.apply_configuration(Arc::clone(configuration));
    }
}

fn notify_subscribers(gateway: &Arc<Gateway>, from: &Name) {
    let now_ms = gateway.now_ms();
    let subscribers: Vec<(Name, Subscriber)> = {
        let mut subscribers = gateway.control.subscribers();
        subscribers.retain(|_, subscriber| now_ms <= subscriber.requested_ms + SUBSCRIPTION_MS);
        subscribers.iter().map(|(name, subscriber)| (name.clone(), *subscriber)).collect()
    };
    for (name, subscriber) in subscribers.iter().filter(|(name, _)| name != from) {
        send_newer(gateway, name, subscriber.revision);
    }
}
