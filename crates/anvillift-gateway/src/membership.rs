//! Heartbeats of this host, and the views that routing rests on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvillift_membership::members::Outgoing;
use anvillift_membership::view::{DataCentreView, UpstreamView, View};
use anvillift_routing::load_view::{DataCentreRoom, LoadView, UpstreamRoom};
use anvillift_schema::configuration::{Profile, Service};
use anvillift_schema::link::PeerMessage;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use tokio::time;

use crate::gateway::Gateway;
use crate::placement;
use crate::snapshot::Snapshot;

/// Between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 100;

/// Ticks membership until the task is aborted.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut interval = time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        tick(&gateway);
        refresh(&gateway);
    }
}

/// Sends what is due.
pub(crate) fn tick(gateway: &Arc<Gateway>) {
    let outgoing = {
        let mut members = gateway.members.lock().expect("lock");
        members.set_in_flight(gateway.in_flight.count());
        members.tick(gateway.now_ms())
    };
    send(gateway, outgoing);
}

/// Sends messages of membership.
pub(crate) fn send(gateway: &Gateway, outgoing: Vec<Outgoing>) {
    for Outgoing { to, message } in outgoing {
        gateway.mesh().send(&to, PeerMessage::Membership(message));
    }
}

/// Takes a newer view and gives it to the router.
pub(crate) fn refresh(gateway: &Arc<Gateway>) {
    // Held from the start, so that an older view never follows a newer one.
    let mut router = gateway.router.lock().expect("lock");
    let now_ms = gateway.now_ms();
    let (view, cache_events) = {
        let mut members = gateway.members.lock().expect("lock");
        (members.view(now_ms), members.take_cache_events())
    };
    let configuration = gateway.configuration.load_full();
    let reachable = reachable_data_centres(gateway, &view);
    for heard in &cache_events {
        let events = std::slice::from_ref(&heard.event);
        router.cache_events(now_ms, &heard.upstream, heard.incarnation, events);
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

/// The hosts of another data centre that can take a request now.
#[derive(Debug, Default)]
struct Reachable {
    hosts: Vec<Name>,
    round_trip_ms: u64,
}

/// Reachable hosts by data centre, which all services share.
fn reachable_data_centres(gateway: &Gateway, view: &View) -> BTreeMap<Name, Reachable> {
    let mut reachable: BTreeMap<Name, Reachable> = BTreeMap::new();
    let Some(mesh) = gateway.mesh.get() else { return reachable };
    for linked in mesh.linked() {
        let Some(known) = view.hosts.get(&linked) else { continue };
        if !known.alive || known.record.state != HostState::Ready {
            continue;
        }
        let place = reachable.entry(known.record.data_centre.clone()).or_default();
        let round_trip_ms = mesh.round_trip_ms(&linked).unwrap_or_default();
        place.round_trip_ms = place.round_trip_ms.max(round_trip_ms);
        place.hosts.push(linked);
    }
    reachable
}

fn load_view(
    gateway: &Gateway,
    view: &View,
    reachable: &BTreeMap<Name, Reachable>,
    service: &Service,
    profile: &Profile,
) -> LoadView {
    let upstreams = view.upstreams.values();
    let upstreams = upstreams.filter(|known| known.announcement.service == service.name);
    let far = view.data_centres.values().filter(|known| {
        let summary = &known.summary;
        summary.data_centre != *gateway.data_centre()
            && known.age_ms <= gateway.settings.timing.upstream_expiry_ms
            && placement::allows(profile, &summary.region, &summary.data_centre)
    });
    let rooms = far.filter_map(|known| {
        let place = reachable.get(&known.summary.data_centre)?;
        Some(data_centre_room(known, place, &service.name))
    });
    LoadView {
        region: gateway.region().clone(),
        data_centre: gateway.data_centre().clone(),
        upstreams: upstreams.map(upstream_room).collect(),
        data_centres: rooms.collect(),
        ..LoadView::default()
    }
}

fn upstream_room(known: &UpstreamView) -> UpstreamRoom {
    let announcement = &known.announcement;
    UpstreamRoom {
        upstream: announcement.upstream.clone(),
        models: announcement.models.clone(),
        load: announcement.load.clone(),
        load_age_ms: known.heard_age_ms,
        sent_tokens: known.peer_sent_tokens,
        ..UpstreamRoom::default()
    }
}

fn data_centre_room(known: &DataCentreView, place: &Reachable, service: &Name) -> DataCentreRoom {
    let summary = &known.summary;
    let room = summary.services.iter().find(|room| room.service == *service);
    let room = room.cloned().unwrap_or_default();
    DataCentreRoom {
        data_centre: summary.data_centre.clone(),
        region: summary.region.clone(),
        hosts: place.hosts.clone(),
        age_ms: known.age_ms,
        round_trip_ms: place.round_trip_ms,
        upstreams: room.upstreams,
        running_requests: room.running_requests,
        free_slots: room.free_slots,
        queued_tokens: room.queued_tokens,
        token_rate_milli: room.token_rate_milli,
        prefill_rate_tokens_per_s: room.prefill_rate_tokens_per_s,
        ..DataCentreRoom::default()
    }
}
