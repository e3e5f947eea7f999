//! Heartbeats of this host, and the views of hosts and upstreams that routing uses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvillift_membership::membership::OutgoingMessage;
use anvillift_membership::view::{DataCentreView, UpstreamView, View};
use anvillift_routing::load_view::{DataCentreCapacity, LoadView, UpstreamCapacity};
use anvillift_schema::configuration::{Profile, Service};
use anvillift_schema::link::PeerMessage;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use tokio::time;

use crate::gateway::Gateway;
use crate::placement;
use crate::snapshot::Snapshot;

/// Interval of the membership task, in milliseconds.
const TICK_MS: u64 = 100;

/// Sends due messages and refreshes the views until the task is aborted.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut interval = time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        tick(&gateway);
        refresh(&gateway);
    }
}

/// Sends the heartbeats and other messages that are due.
pub(crate) fn tick(gateway: &Arc<Gateway>) {
    let outgoing = {
        let mut membership = gateway.membership.lock().expect("lock");
        membership.set_in_flight(gateway.in_flight.count());
        membership.tick(gateway.now_ms())
    };
    send(gateway, outgoing);
}

/// Sends messages of the membership protocol over the links.
pub(crate) fn send(gateway: &Gateway, outgoing: Vec<OutgoingMessage>) {
    for OutgoingMessage { to, message } in outgoing {
        gateway.mesh().send(&to, PeerMessage::Membership(message));
    }
}

/// Updates the router and the snapshot with the current view of membership.
pub(crate) fn refresh(gateway: &Arc<Gateway>) {
    // Locked before the view is taken, so that concurrent calls cannot replace a newer view with
    // an older one.
    let mut router = gateway.router.lock().expect("lock");
    let now_ms = gateway.now_ms();
    let (view, cache_events) = {
        let mut membership = gateway.membership.lock().expect("lock");
        (membership.view(now_ms), membership.take_cache_events())
    };
    let configuration = gateway.configuration.load_full();
    let reachable = reachable_data_centres(gateway, &view);
    for received in &cache_events {
        let events = std::slice::from_ref(&received.event);
        router.apply_cache_events(now_ms, &received.upstream, received.incarnation, events);
    }
    for service in configuration.services.values() {
        if let Some(profile) = configuration.profiles.get(&service.profile) {
            router.refresh(
                now_ms,
                &service.name,
                load_view(gateway, &view, &reachable, service, profile),
            );
        }
    }
    let snapshot = Snapshot::new(view, now_ms, &gateway.settings.host);
    gateway.snapshot.store(Arc::new(snapshot));
}

/// Hosts of another data centre that are linked, alive and ready.
#[derive(Debug, Default)]
struct ReachableHosts {
    hosts: Vec<Name>,
    round_trip_ms: u64,
}

/// Finds the reachable hosts of each data centre; the result is shared by all services.
fn reachable_data_centres(gateway: &Gateway, view: &View) -> BTreeMap<Name, ReachableHosts> {
    let mut reachable: BTreeMap<Name, ReachableHosts> = BTreeMap::new();
    let Some(mesh) = gateway.mesh.get() else { return reachable };
    for linked in mesh.linked_hosts() {
        let Some(entry) = view.hosts.get(&linked) else { continue };
        if !entry.alive || entry.record.state != HostState::Ready {
            continue;
        }
        let place = reachable.entry(entry.record.data_centre.clone()).or_default();
        let round_trip_ms = mesh.round_trip_ms(&linked).unwrap_or_default();
        place.round_trip_ms = place.round_trip_ms.max(round_trip_ms);
        place.hosts.push(linked);
    }
    reachable
}

fn load_view(
    gateway: &Gateway,
    view: &View,
    reachable: &BTreeMap<Name, ReachableHosts>,
    service: &Service,
    profile: &Profile,
) -> LoadView {
    let upstreams = view.upstreams.values();
    let upstreams = upstreams.filter(|entry| entry.announcement.service == service.name);
    let remote = view.data_centres.values().filter(|entry| {
        let summary = &entry.summary;
        summary.data_centre != *gateway.data_centre()
            && entry.age_ms <= gateway.settings.timing.upstream_expiry_ms
            && placement::allows(profile, &summary.region, &summary.data_centre)
    });
    let data_centres = remote.filter_map(|entry| {
        let place = reachable.get(&entry.summary.data_centre)?;
        Some(data_centre_load(entry, place, &service.name))
    });
    LoadView {
        region: gateway.region().clone(),
        data_centre: gateway.data_centre().clone(),
        upstreams: upstreams.map(upstream_load).collect(),
        data_centres: data_centres.collect(),
        ..LoadView::default()
    }
}

fn upstream_load(entry: &UpstreamView) -> UpstreamCapacity {
    let announcement = &entry.announcement;
    UpstreamCapacity {
        upstream: announcement.upstream.clone(),
        models: announcement.models.clone(),
        load: announcement.load.clone(),
        load_age_ms: entry.last_seen_age_ms,
        sent_tokens: entry.peer_sent_tokens,
        ..UpstreamCapacity::default()
    }
}

fn data_centre_load(
    entry: &DataCentreView,
    place: &ReachableHosts,
    service: &Name,
) -> DataCentreCapacity {
    let summary = &entry.summary;
    let load = summary.services.iter().find(|load| load.service == *service);
    let load = load.cloned().unwrap_or_default();
    DataCentreCapacity {
        data_centre: summary.data_centre.clone(),
        region: summary.region.clone(),
        hosts: place.hosts.clone(),
        age_ms: entry.age_ms,
        round_trip_ms: place.round_trip_ms,
        upstreams: load.upstreams,
        running_requests: load.running_requests,
        free_slots: load.free_slots,
        queued_tokens: load.queued_tokens,
        token_rate_milli: load.token_rate_milli,
        prefill_rate_tokens_per_s: load.prefill_rate_tokens_per_s,
        ..DataCentreCapacity::default()
    }
}
