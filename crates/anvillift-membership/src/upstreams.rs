//! State of the upstreams of the local data centre.
//!
//! A host reports the upstreams that announce themselves to it: the complete
//! record when it changes, then load updates that refer to it by number. Each
//! report carries the time since the last announcement, so a report alone never
//! postpones the expiry of an upstream. The leave of an incarnation is kept as a
//! tombstone. Start at [`Upstreams`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use anvillift_schema::membership::{CacheUpdate, LoadUpdate, SentTokensUpdate, UpstreamRecord};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::{Announcement, CacheEvent};

use crate::cache;
use crate::upstream_state::{ReceivedAnnouncement, UpstreamState};
use crate::view::UpstreamView;

/// How long tombstones and silent upstreams are kept, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Capacity of each queue of cache events; the oldest event is dropped when it is full.
const MAX_CACHE_EVENTS: usize = 4096;
/// Number of heartbeats that carry a new record, in case some are lost.
pub(crate) const RECORD_REPEATS: u32 = 3;

/// A cache event of an upstream, received from the upstream or from another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamCacheEvent {
    /// Name of the upstream whose cache changed.
    pub upstream: Name,
    /// Incarnation of the upstream that sent the event.
    pub incarnation: u64,
    /// The hashes stored and evicted, with their sequence number.
    pub event: CacheEvent,
}

/// The upstream incarnation that another host refers to by a record number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RecordOwner {
    pub(crate) upstream: Name,
    pub(crate) incarnation: u64,
}

/// All upstreams of the local data centre, as one host sees them.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    by_name: BTreeMap<Name, UpstreamState>,
    expiry_ms: u64,
    last_record_number: u64,
    undelivered_events: VecDeque<UpstreamCacheEvent>,
    unsent_events: VecDeque<UpstreamCacheEvent>,
}

impl Upstreams {
    pub(crate) fn new(expiry_ms: u64) -> Self {
        Self { expiry_ms, ..Self::default() }
    }

    /// Applies an announcement that an upstream sent to this host. Returns false if it is
    /// not newer than the latest one or if its incarnation has left.
    pub(crate) fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        let events = announcement.cache_events.clone();
        let (upstream, incarnation) = (announcement.upstream.clone(), announcement.incarnation);
        let record_number = self.last_record_number + 1;
        let state = self.by_name.entry(upstream.clone()).or_default();
        let received =
            ReceivedAnnouncement { last_seen_ms: now_ms, left: announcement.leaving, announcement };
        if !state.apply_announcement(received) {
            return false;
        }
        if state.queue_record(now_ms, record_number) {
            self.last_record_number = record_number;
        }
        for event in events {
            let received = UpstreamCacheEvent { upstream: upstream.clone(), incarnation, event };
            push_bounded(&mut self.unsent_events, received.clone());
            push_bounded(&mut self.undelivered_events, received);
        }
        true
    }

    /// Applies a record of another host, to which the upstream announced itself at `last_seen_ms`.
    pub(crate) fn apply_record(&mut self, last_seen_ms: u64, record: UpstreamRecord) {
        let state = self.by_name.entry(record.announcement.upstream.clone()).or_default();
        state.apply_announcement(ReceivedAnnouncement {
            last_seen_ms,
            left: record.left,
            announcement: record.announcement,
        });
    }

    /// Applies a load update of another host, to which `owner` announced itself at
    /// `last_seen_ms`.
    pub(crate) fn apply_load(
        &mut self,
        owner: &RecordOwner,
        last_seen_ms: u64,
        update: &LoadUpdate,
    ) {
        if let Some(state) = self.by_name.get_mut(&owner.upstream) {
            state.apply_load(owner.incarnation, last_seen_ms, update);
        }
    }

    /// Stores how many tokens another host sent to an upstream since its load sample.
    pub(crate) fn apply_sent_tokens(&mut self, from: &Name, update: SentTokensUpdate) {
        let (upstream, tokens) = update.0;
        if let Some(state) = self.by_name.get_mut(&upstream) {
            state.peer_sent_tokens.insert(from.clone(), tokens);
        }
    }

    /// Applies a cache event of `owner` that another host reported.
    pub(crate) fn apply_cache_event(&mut self, owner: &RecordOwner, update: CacheUpdate) {
        let (_, sequence, stored, evicted) = update.0;
        let event = CacheEvent {
            sequence,
            stored: cache::unpack(&stored),
            evicted: cache::unpack(&evicted),
        };
        let (upstream, incarnation) = (owner.upstream.clone(), owner.incarnation);
        push_bounded(
            &mut self.undelivered_events,
            UpstreamCacheEvent { upstream, incarnation, event },
        );
    }

    /// Drains the cache events received since the last call, in order of arrival.
    pub(crate) fn take_cache_events(&mut self) -> Vec<UpstreamCacheEvent> {
        self.undelivered_events.drain(..).collect()
    }

    /// Counts tokens that this host sent to an upstream.
    pub(crate) fn add_sent_tokens(&mut self, upstream: &Name, tokens: u64) {
        if let Some(state) = self.by_name.get_mut(upstream) {
            state.sent_tokens = state.sent_tokens.saturating_add(tokens);
        }
    }

    /// Whether a record is waiting to be sent for the first time.
    pub(crate) fn has_unsent_records(&self) -> bool {
        self.by_name.values().any(|state| state.repeats_left == RECORD_REPEATS)
    }

    /// Records for the next heartbeat; each new one is sent in [`RECORD_REPEATS`] heartbeats.
    pub(crate) fn records_to_send(&mut self, now_ms: u64) -> Vec<UpstreamRecord> {
        let mut records = Vec::new();
        for state in self.by_name.values_mut().filter(|state| state.repeats_left > 0) {
            state.repeats_left -= 1;
            records.extend(state.record(now_ms));
        }
        records
    }

    /// Records of all unexpired upstreams that announce themselves to this host.
    pub(crate) fn all_records(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let live = self.by_name.values().filter(|state| state.age_ms(now_ms) <= self.expiry_ms);
        live.filter_map(|state| state.record(now_ms)).collect()
    }

    /// Load updates since the last call, of upstreams that announce themselves to this
    /// host. With a `heartbeat_number`, the load of each upstream is sent in every second
    /// heartbeat only, and its other updates are keep-alives without load.
    pub(crate) fn loads_to_send(
        &mut self,
        now_ms: u64,
        heartbeat_number: Option<u64>,
    ) -> Vec<LoadUpdate> {
        self.by_name
            .values_mut()
            .filter_map(|state| state.load_to_send(now_ms, heartbeat_number))
            .collect()
    }

    /// Counts of the tokens that this host sent to each upstream, largest first.
    pub(crate) fn sent_tokens_to_send(&self, now_ms: u64) -> Vec<SentTokensUpdate> {
        let available = self.by_name.iter().filter(|(_, state)| self.is_available(now_ms, state));
        let sent = available.filter(|(_, state)| state.sent_tokens > 0);
        let mut sent: Vec<_> =
            sent.map(|(name, state)| SentTokensUpdate((name.clone(), state.sent_tokens))).collect();
        sent.sort_by_key(|update| Reverse(update.0.1));
        sent
    }

    /// The newest unsent cache events that fit into `bytes`. The others are dropped, which
    /// leaves a gap in the sequence numbers.
    pub(crate) fn cache_events_to_send(&mut self, mut bytes: u64) -> Vec<CacheUpdate> {
        let mut updates = Vec::new();
        while let Some(unsent) = self.unsent_events.pop_back() {
            let Some(record_number) = self.record_number_of(&unsent) else { continue };
            let update = cache::pack(record_number, &unsent.event);
            let needed = cache::size_bytes(&update);
            if needed > bytes {
                break;
            }
            bytes -= needed;
            updates.push(update);
        }
        self.unsent_events.clear();
        updates.reverse();
        updates
    }

    fn record_number_of(&self, event: &UpstreamCacheEvent) -> Option<u64> {
        let state = self.by_name.get(&event.upstream)?;
        let is_current = state.latest.as_ref()?.announcement.incarnation == event.incarnation;
        if is_current { state.record_number } else { None }
    }

    /// Upstreams that may get new work: neither left nor expired.
    pub(crate) fn available(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Announcement)> {
        let available =
            self.by_name.iter().filter(move |(_, state)| self.is_available(now_ms, state));
        available.filter_map(|(name, state)| Some((name, &state.latest.as_ref()?.announcement)))
    }

    /// Upstreams that may get new work, as shown in a view.
    pub(crate) fn view(&self, now_ms: u64) -> BTreeMap<Name, UpstreamView> {
        let view = |name: &Name, announcement: &Announcement| {
            let state = &self.by_name[name];
            UpstreamView {
                announcement: announcement.clone(),
                last_seen_age_ms: state.age_ms(now_ms),
                peer_sent_tokens: state.peer_sent_tokens.values().sum(),
            }
        };
        self.available(now_ms)
            .map(|(name, announcement)| (name.clone(), view(name, announcement)))
            .collect()
    }

    /// Removes upstreams that have been silent for longer than [`RETENTION_MS`].
    pub(crate) fn prune(&mut self, now_ms: u64) {
        self.by_name.retain(|_, state| state.age_ms(now_ms) <= RETENTION_MS);
    }

    fn is_available(&self, now_ms: u64, state: &UpstreamState) -> bool {
        let left = state.latest.as_ref().is_none_or(|latest| latest.left);
        !left && state.age_ms(now_ms) <= self.expiry_ms
    }
}

fn push_bounded(events: &mut VecDeque<UpstreamCacheEvent>, event: UpstreamCacheEvent) {
    if events.len() == MAX_CACHE_EVENTS {
        events.pop_front();
    }
    events.push_back(event);
}
