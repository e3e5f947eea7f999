//! Membership state machine of one host.
//!
//! [`Membership::tick`] returns the heartbeats to the hosts of the local data centre
//! and, if this host is a delegate, the digests to other data centres.
//! [`Membership::receive`] applies the heartbeats and digests of other hosts.

mod digests;
mod heartbeats;

use std::collections::BTreeMap;

use anvillift_schema::membership::{HostRecord, HostState, MembershipMessage};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::Announcement;

use crate::local_peers::LocalPeers;
use crate::remote_data_centres::RemoteDataCentres;
use crate::roster;
pub use crate::settings::MembershipSettings;
use crate::upstreams::{RECORD_REPEATS, UpstreamCacheEvent, Upstreams};
use crate::view::{HostView, View};

/// Upper limit of the membership traffic that a host sends, in bytes per second.
pub const BUDGET_BYTES_PER_S: u64 = 4096;

/// A message that the caller of [`Membership`] must send to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingMessage {
    /// Name of the receiving host.
    pub to: Name,
    /// Content, to be sent over the link to that host.
    pub message: MembershipMessage,
}

/// State of all hosts, upstreams and data centres as one host sees it.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: HostRecord,
    record_version: u64,
    record_repeats_left: u32,
    local_peer_names: Vec<Name>,
    /// Hosts of the local data centre, including this host, sorted by name.
    local_host_names: Vec<Name>,
    remote_host_names: BTreeMap<Name, Vec<Name>>,
    local_peers: LocalPeers,
    upstreams: Upstreams,
    remote_data_centres: RemoteDataCentres,
    next_heartbeat_ms: u64,
    heartbeat_number: u64,
    next_digest_ms: u64,
    digest_sequence: u64,
    last_sent_checksum: Option<u32>,
    sent_roster_checksums: BTreeMap<Name, u32>,
}

impl Membership {
    /// Creates the state of a host that has not received any message yet. The parity of
    /// `seed` decides which delegate of another data centre receives the first digest.
    pub fn new(settings: MembershipSettings, seed: u64) -> Self {
        let own = HostRecord {
            host: settings.identity.name.clone(),
            region: settings.identity.region.clone(),
            data_centre: settings.identity.data_centre.clone(),
            incarnation: settings.incarnation,
            heartbeat: 0,
            state: HostState::Starting,
            caller_url: settings.caller_url.clone(),
            revision: 0,
            in_flight_requests: 0,
            storage_id: settings.storage_id.clone(),
        };
        Self {
            own,
            record_version: 1,
            record_repeats_left: RECORD_REPEATS,
            local_peer_names: settings.local_peer_names(),
            local_host_names: settings.local_host_names(),
            remote_host_names: settings.remote_host_names(),
            local_peers: LocalPeers::new(settings.silent_after_ms),
            upstreams: Upstreams::new(settings.upstream_expiry_ms),
            remote_data_centres: RemoteDataCentres::new(
                settings.digest_max_age_ms(),
                settings.digest_interval_ms(settings.remote_host_names().len()),
            ),
            next_heartbeat_ms: 0,
            heartbeat_number: 0,
            next_digest_ms: 0,
            digest_sequence: seed % 2,
            last_sent_checksum: None,
            sent_roster_checksums: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the messages that are due at `now_ms`. Must be called at least every 100 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        let heartbeat_due = now_ms >= self.next_heartbeat_ms;
        if heartbeat_due {
            self.next_heartbeat_ms =
                now_ms + self.settings.heartbeat_interval_ms(self.local_peer_names.len() as u64);
            self.heartbeat_number += 1;
            self.upstreams.prune(now_ms);
            self.remote_data_centres.prune(now_ms);
        }
        if heartbeat_due || self.has_urgent_updates() {
            outgoing.extend(self.heartbeats(now_ms));
        }
        let roster = self.roster(now_ms);
        let checksum = roster::checksum(&roster);
        let roster_changed = self.last_sent_checksum != Some(checksum);
        if roster_changed || now_ms >= self.next_digest_ms {
            self.next_digest_ms =
                now_ms + self.settings.digest_interval_ms(self.remote_host_names.len());
            self.last_sent_checksum = Some(checksum);
            outgoing.extend(self.digests(now_ms, &roster, checksum, roster_changed));
        }
        outgoing
    }

    /// Applies a message from another host and returns the replies. Messages from hosts
    /// that are not in the settings are ignored.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &Name,
        message: MembershipMessage,
    ) -> Vec<OutgoingMessage> {
        let Some(peer) = self.settings.peers.get(from) else { return Vec::new() };
        let data_centre = peer.data_centre.clone();
        let is_local = data_centre == self.own.data_centre;
        match message {
            MembershipMessage::Beat(heartbeat) if is_local => {
                self.receive_heartbeat(now_ms, from, heartbeat)
            }
            MembershipMessage::Summary(digest_message) if !is_local => {
                self.receive_digest(now_ms, from, &data_centre, digest_message)
            }
            MembershipMessage::WantRoster(checksum) if !is_local => {
                self.send_roster(now_ms, from, checksum)
            }
            _ => Vec::new(),
        }
    }

    /// Applies an announcement that an upstream sent to this host. Returns false if it is
    /// not newer than the latest one or if its incarnation has left.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        self.upstreams.announce(now_ms, announcement)
    }

    /// Sets whether this host accepts requests; a change is sent at the next tick.
    pub fn set_state(&mut self, state: HostState) {
        if self.own.state != state {
            self.own.state = state;
            self.record_version += 1;
            self.record_repeats_left = RECORD_REPEATS;
        }
    }

    /// Sets the configuration revision that this host has applied, for the next heartbeats.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.revision = revision;
    }

    /// Sets the number of requests in flight on this host, for the next heartbeats.
    pub fn set_in_flight(&mut self, requests: u32) {
        self.own.in_flight_requests = requests;
    }

    /// Counts tokens that this host sent to an upstream since its last load sample.
    pub fn add_sent_tokens(&mut self, upstream: &Name, tokens: u64) {
        self.upstreams.add_sent_tokens(upstream, tokens);
    }

    /// Drains the cache events received since the last call, from upstreams or other hosts.
    pub fn take_cache_events(&mut self) -> Vec<UpstreamCacheEvent> {
        self.upstreams.take_cache_events()
    }

    /// Returns a snapshot of the state at `now_ms`.
    pub fn view(&self, now_ms: u64) -> View {
        let own = HostView { record: self.own.clone(), last_seen_age_ms: 0, alive: true };
        let others =
            self.remote_data_centres.host_views(now_ms).chain(self.local_peers.views(now_ms));
        let hosts = others.chain([own]).map(|host| (host.record.host.clone(), host));
        View {
            hosts: hosts.collect(),
            upstreams: self.upstreams.view(now_ms),
            data_centres: self.remote_data_centres.views(now_ms),
        }
    }
}
