//! How a configuration spreads.
//!
//! In each data centre one host, the relay, asks a control host; the others
//! ask the relay. Whoever was asked lately passes on each newer revision at
//! once, so that asking again is only the way back after a loss. A host that
//! sees a higher revision elsewhere asks there, so that a relay or control
//! host that is frozen or cut off holds nobody back.

use std::sync::{Arc, Weak};
use std::time::Duration;

use anvillift_schema::configuration::{Configuration, ConfigurationUpdate};
use anvillift_schema::link::PeerMessage;
use anvillift_schema::name::Name;
use tokio::time;

use crate::control::state::Subscriber;
use crate::gateway::Gateway;

/// Between two requests.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a request is remembered, in milliseconds.
const SUBSCRIPTION_MS: u64 = 10_000;

/// Asks for newer revisions until the task is aborted.
pub(super) async fn run(gateway: Weak<Gateway>) {
    let mut interval = time::interval(ASK_INTERVAL);
    let mut round = 0;
    loop {
        interval.tick().await;
        let Some(gateway) = gateway.upgrade() else { return };
        for host in sources(&gateway, round) {
            ask(&gateway, &host);
        }
        round += 1;
    }
}

/// Asks a host for what is newer than what is held.
pub(super) fn ask(gateway: &Gateway, host: &Name) {
    let after_revision = gateway.control.held().revision();
    gateway.mesh().send(host, PeerMessage::ConfigurationRequest { after_revision });
}

/// Whom to ask in a round.
fn sources(gateway: &Gateway, round: usize) -> Vec<Name> {
    let held = gateway.control.held().revision();
    let snapshot = gateway.snapshot.load();
    let others = || snapshot.view.hosts.values().filter(|host| host.record.host != *gateway.host());
    let alive = || others().filter(|host| host.alive);
    let mut near = alive().filter(|host| host.record.data_centre == *gateway.data_centre());
    let relay = near.find(|host| host.record.host < *gateway.host());
    let mut sources = Vec::new();
    match relay {
        Some(relay) => sources.push(relay.record.host.clone()),
        None => sources.extend(control_host(gateway, round)),
    }
    let ahead = alive().filter(|host| host.record.revision > held);
    let nearest = ahead.min_by_key(|host| {
        let record = &host.record;
        (record.data_centre != *gateway.data_centre(), record.region != *gateway.region())
    });
    sources.extend(nearest.map(|host| host.record.host.clone()));
    sources.dedup();
    sources
}

/// A control host with a link, another one each round.
fn control_host(gateway: &Gateway, round: usize) -> Option<Name> {
    let linked = gateway.mesh().linked();
    let voters = gateway.settings.control.voters.iter();
    let hosts: Vec<&Name> = voters.filter(|host| linked.contains(host)).collect();
    hosts.get(round % hosts.len().max(1)).map(|&host| host.clone())
}

/// Answers a host that asks, and remembers it.
pub(super) fn answer(gateway: &Arc<Gateway>, from: &Name, after_revision: u64) {
    let asked_ms = gateway.now_ms();
    let subscriber = Subscriber { revision: after_revision, asked_ms };
    gateway.control.subscribers().insert(from.clone(), subscriber);
    send_newer(gateway, from, after_revision);
}

fn send_newer(gateway: &Gateway, to: &Name, after_revision: u64) {
    let (update, revision) = {
        let held = gateway.control.held();
        (held.update_after(after_revision), held.revision())
    };
    let Some(update) = update else { return };
    if gateway.mesh().send(to, PeerMessage::ConfigurationUpdate(update))
        && let Some(subscriber) = gateway.control.subscribers().get_mut(to)
    {
        subscriber.revision = subscriber.revision.max(revision);
    }
}

/// Takes what is newer, puts it in force and passes it on.
pub(super) fn take(gateway: &Arc<Gateway>, from: &Name, update: ConfigurationUpdate) {
    let newer = {
        let mut held = gateway.control.held();
        held.take(update).then(|| held.configuration().clone())
    };
    let Some(configuration) = newer else { return };
    apply(gateway, &configuration);
    gateway.control.changed.notify_waiters();
    gateway.control.changed.notify_one();
    pass_on(gateway, from);
}

/// Puts a configuration in force; of two at once the newer one stays.
fn apply(gateway: &Arc<Gateway>, configuration: &Configuration) {
    let _one_at_a_time = gateway.control.applying();
    if configuration.revision > gateway.configuration.load().revision {
        gateway.apply_configuration(configuration.clone());
    }
}

fn pass_on(gateway: &Arc<Gateway>, from: &Name) {
    let now_ms = gateway.now_ms();
    let subscribers: Vec<(Name, Subscriber)> = {
        let mut subscribers = gateway.control.subscribers();
        subscribers.retain(|_, subscriber| now_ms <= subscriber.asked_ms + SUBSCRIPTION_MS);
        subscribers.iter().map(|(name, subscriber)| (name.clone(), *subscriber)).collect()
    };
    for (name, subscriber) in subscribers.iter().filter(|(name, _)| name != from) {
        send_newer(gateway, name, subscriber.revision);
    }
}
