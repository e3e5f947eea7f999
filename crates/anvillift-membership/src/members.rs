//! The membership state of one host.
//!
//! [`Members::tick`] sends heartbeats to the own data centre and, where the own
//! host is a delegate, digests to the others; [`Members::receive`] takes both.

mod far;
mod near;

use std::collections::BTreeMap;

use anvillift_schema::membership::{HostRecord, HostState, MembershipMessage};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::Announcement;

use crate::neighbours::Neighbours;
use crate::remotes::Remotes;
use crate::roster;
pub use crate::settings::MembersSettings;
use crate::upstreams::{HeardCacheEvent, REPEATED_BEATS, Upstreams};
use crate::view::{HostView, View};

/// What a host may send for membership, in bytes a second.
pub const BUDGET_BYTES_PER_S: u64 = 4096;

/// A message to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: Name,
    /// Message.
    pub message: MembershipMessage,
}

/// Hosts, upstreams and data centres known to one host.
#[derive(Debug)]
pub struct Members {
    settings: MembersSettings,
    own: HostRecord,
    version: u64,
    record_repeats: u32,
    near: Vec<Name>,
    /// The hosts of the own data centre, the own one included.
    centre: Vec<Name>,
    far: BTreeMap<Name, Vec<Name>>,
    neighbours: Neighbours,
    upstreams: Upstreams,
    remotes: Remotes,
    next_beat_ms: u64,
    beat_number: u64,
    next_summary_ms: u64,
    sequence: u64,
    told_checksum: Option<u32>,
    told_rosters: BTreeMap<Name, u32>,
}

impl Members {
    /// Members that know only the own host; `seed` spreads the first heartbeats in time.
    pub fn new(settings: MembersSettings, seed: u64) -> Self {
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
            version: 1,
            record_repeats: REPEATED_BEATS,
            near: settings.near(),
            centre: settings.centre(),
            far: settings.far(),
            neighbours: Neighbours::new(settings.silent_after_ms),
            upstreams: Upstreams::new(settings.upstream_expiry_ms),
            remotes: Remotes::new(
                settings.digest_limit_ms(),
                settings.summary_ms(settings.far().len()),
            ),
            next_beat_ms: 0,
            beat_number: 0,
            next_summary_ms: 0,
            sequence: seed % 2,
            told_checksum: None,
            told_rosters: BTreeMap::new(),
            settings,
        }
    }

    /// Sends what is due at `now_ms`; to be called every 100 ms or sooner.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut sent = Vec::new();
        let beat_due = now_ms >= self.next_beat_ms;
        if beat_due {
            self.next_beat_ms = now_ms + self.settings.beat_ms(self.near.len() as u64);
            self.beat_number += 1;
            self.upstreams.prune(now_ms);
            self.remotes.prune(now_ms);
        }
        if beat_due || self.has_urgent_news() {
            sent.extend(self.beats(now_ms));
        }
        let roster = self.roster(now_ms);
        let checksum = roster::checksum(&roster);
        let changed = self.told_checksum != Some(checksum);
        if changed || now_ms >= self.next_summary_ms {
            self.next_summary_ms = now_ms + self.settings.summary_ms(self.far.len());
            self.told_checksum = Some(checksum);
            sent.extend(self.summaries(now_ms, &roster, checksum, changed));
        }
        sent
    }

    /// Takes a message from another host.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &Name,
        message: MembershipMessage,
    ) -> Vec<Outgoing> {
        let Some(peer) = self.settings.peers.get(from) else { return Vec::new() };
        let centre = peer.data_centre.clone();
        let inside = centre == self.own.data_centre;
        match message {
            MembershipMessage::Beat(beat) if inside => self.receive_beat(now_ms, from, beat),
            MembershipMessage::Summary(summary) if !inside => {
                self.receive_summary(now_ms, from, &centre, summary)
            }
            MembershipMessage::WantRoster(checksum) if !inside => {
                self.answer_roster(now_ms, from, checksum)
            }
            _ => Vec::new(),
        }
    }

    /// Takes an announcement of an upstream; false if it is older than what is known.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        self.upstreams.announce(now_ms, announcement)
    }

    /// Sets whether the own host takes requests.
    pub fn set_state(&mut self, state: HostState) {
        if self.own.state != state {
            self.own.state = state;
            self.version += 1;
            self.record_repeats = REPEATED_BEATS;
        }
    }

    /// Sets the configuration revision applied by the own host.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.revision = revision;
    }

    /// Sets the number of requests in flight on the own host.
    pub fn set_in_flight(&mut self, requests: u32) {
        self.own.in_flight_requests = requests;
    }

    /// Adds tokens that the own host sent to an upstream.
    pub fn add_sent_tokens(&mut self, upstream: &Name, tokens: u64) {
        self.upstreams.add_sent_tokens(upstream, tokens);
    }

    /// Cache events heard since the last call, directly or from other hosts.
    pub fn take_cache_events(&mut self) -> Vec<HeardCacheEvent> {
        self.upstreams.take_cache_events()
    }

    /// What is known at `now_ms`.
    pub fn view(&self, now_ms: u64) -> View {
        let own = HostView { record: self.own.clone(), heard_age_ms: 0, alive: true };
        let others = self.remotes.host_views(now_ms).chain(self.neighbours.views(now_ms));
        let hosts = others.chain([own]).map(|host| (host.record.host.clone(), host));
        View {
            hosts: hosts.collect(),
            upstreams: self.upstreams.view(now_ms),
            data_centres: self.remotes.views(now_ms),
        }
    }
}
