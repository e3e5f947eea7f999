//! Upstreams of the own data centre.
//!
//! A host tells the others of the upstreams that it hears directly: a whole
//! record when it is new, then load news that refer to it by number. News carry
//! the age since the upstream was heard, so that they never lengthen its life.
//! A leave is kept as the tombstone of its incarnation. Start at [`Upstreams`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use anvillift_schema::membership::{CacheNews, LoadNews, SentNews, UpstreamRecord};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::{Announcement, CacheEvent};

use crate::cache;
use crate::known_upstream::{Heard, KnownUpstream};
use crate::view::UpstreamView;

/// Tombstones and silent upstreams are remembered this long, in milliseconds.
const REMEMBERED_MS: u64 = 600_000;
/// Cache events kept for the own host or for the others.
const MAX_CACHE_EVENTS: usize = 4096;
/// Heartbeats that repeat a new record.
pub(crate) const REPEATED_BEATS: u32 = 3;

/// A cache event of an upstream incarnation, heard directly or from another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeardCacheEvent {
    /// Upstream.
    pub upstream: Name,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// The event.
    pub event: CacheEvent,
}

/// Where a record that another host numbered belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RecordOwner {
    pub(crate) upstream: Name,
    pub(crate) incarnation: u64,
}

/// Upstreams known to one host.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    known: BTreeMap<Name, KnownUpstream>,
    expiry_ms: u64,
    last_number: u64,
    fresh_events: VecDeque<HeardCacheEvent>,
    untold_events: VecDeque<HeardCacheEvent>,
}

impl Upstreams {
    pub(crate) fn new(expiry_ms: u64) -> Self {
        Self { expiry_ms, ..Self::default() }
    }

    /// Takes an announcement heard directly; false if it is not news.
    pub(crate) fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        let events = announcement.cache_events.clone();
        let (upstream, incarnation) = (announcement.upstream.clone(), announcement.incarnation);
        let number = self.last_number + 1;
        let known = self.known.entry(upstream.clone()).or_default();
        let heard = Heard { heard_ms: now_ms, left: announcement.leaving, announcement };
        if !known.take(heard) {
            return false;
        }
        if known.tell(now_ms, number) {
            self.last_number = number;
        }
        for event in events {
            let heard = HeardCacheEvent { upstream: upstream.clone(), incarnation, event };
            push_bounded(&mut self.untold_events, heard.clone());
            push_bounded(&mut self.fresh_events, heard);
        }
        true
    }

    /// Takes a record that another host told, heard directly at `heard_ms`.
    pub(crate) fn take_record(&mut self, heard_ms: u64, record: UpstreamRecord) {
        let known = self.known.entry(record.announcement.upstream.clone()).or_default();
        known.take(Heard { heard_ms, left: record.left, announcement: record.announcement });
    }

    /// Takes load news that another host told of `owner`, heard directly at `heard_ms`.
    pub(crate) fn take_load(&mut self, owner: &RecordOwner, heard_ms: u64, news: &LoadNews) {
        if let Some(known) = self.known.get_mut(&owner.upstream) {
            known.take_load(owner.incarnation, heard_ms, news);
        }
    }

    /// Takes the tokens that another host sent to an upstream.
    pub(crate) fn take_sent(&mut self, from: &Name, news: SentNews) {
        let (upstream, tokens) = news.0;
        if let Some(known) = self.known.get_mut(&upstream) {
            known.sent_by_peers.insert(from.clone(), tokens);
        }
    }

    /// Takes a cache event that another host told of `owner`.
    pub(crate) fn take_cache(&mut self, owner: &RecordOwner, news: CacheNews) {
        let (_, sequence, stored, evicted) = news.0;
        let event = CacheEvent {
            sequence,
            stored: cache::unpack(&stored),
            evicted: cache::unpack(&evicted),
        };
        let (upstream, incarnation) = (owner.upstream.clone(), owner.incarnation);
        push_bounded(&mut self.fresh_events, HeardCacheEvent { upstream, incarnation, event });
    }

    /// Cache events since the last call, in order of arrival.
    pub(crate) fn take_cache_events(&mut self) -> Vec<HeardCacheEvent> {
        self.fresh_events.drain(..).collect()
    }

    /// Adds tokens that the own host sent.
    pub(crate) fn add_sent_tokens(&mut self, upstream: &Name, tokens: u64) {
        if let Some(known) = self.known.get_mut(upstream) {
            known.sent_tokens = known.sent_tokens.saturating_add(tokens);
        }
    }

    /// Whether a record waits to be told.
    pub(crate) fn has_untold_records(&self) -> bool {
        self.known.values().any(|known| known.repeats_left == REPEATED_BEATS)
    }

    /// Records to tell in a heartbeat; each new one is told in several.
    pub(crate) fn records_to_tell(&mut self, now_ms: u64) -> Vec<UpstreamRecord> {
        let mut records = Vec::new();
        for known in self.known.values_mut().filter(|known| known.repeats_left > 0) {
            known.repeats_left -= 1;
            records.extend(known.record(now_ms));
        }
        records
    }

    /// All records of upstreams heard directly.
    pub(crate) fn all_records(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let lively = self.known.values().filter(|known| known.age_ms(now_ms) <= self.expiry_ms);
        lively.filter_map(|known| known.record(now_ms)).collect()
    }

    /// Load news since the last call of upstreams heard directly; with a `turn`, half of
    /// them, by turns, tell only that the upstream was heard.
    pub(crate) fn loads_to_tell(&mut self, now_ms: u64, turn: Option<u64>) -> Vec<LoadNews> {
        self.known.values_mut().filter_map(|known| known.load_to_tell(now_ms, turn)).collect()
    }

    /// Tokens that the own host sent, largest first.
    pub(crate) fn sent_to_tell(&self, now_ms: u64) -> Vec<SentNews> {
        let available = self.known.iter().filter(|(_, known)| self.is_available(now_ms, known));
        let sent = available.filter(|(_, known)| known.sent_tokens > 0);
        let mut sent: Vec<_> =
            sent.map(|(name, known)| SentNews((name.clone(), known.sent_tokens))).collect();
        sent.sort_by_key(|news| Reverse(news.0.1));
        sent
    }

    /// Cache events to tell within `bytes`; what does not fit is dropped, a gap in the sequence.
    pub(crate) fn cache_to_tell(&mut self, mut bytes: u64) -> Vec<CacheNews> {
        let mut told = Vec::new();
        while let Some(heard) = self.untold_events.pop_back() {
            let Some(number) = self.number_of(&heard) else { continue };
            let news = cache::pack(number, &heard.event);
            let needed = cache::size_bytes(&news);
            if needed > bytes {
                break;
            }
            bytes -= needed;
            told.push(news);
        }
        self.untold_events.clear();
        told.reverse();
        told
    }

    fn number_of(&self, heard: &HeardCacheEvent) -> Option<u64> {
        let known = self.known.get(&heard.upstream)?;
        let current = known.heard.as_ref()?.announcement.incarnation == heard.incarnation;
        if current { known.number } else { None }
    }

    /// Upstreams that may get new work.
    pub(crate) fn available(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Announcement)> {
        let available =
            self.known.iter().filter(move |(_, known)| self.is_available(now_ms, known));
        available.filter_map(|(name, known)| Some((name, &known.heard.as_ref()?.announcement)))
    }

    /// Upstreams that may get new work, as the view shows them.
    pub(crate) fn view(&self, now_ms: u64) -> BTreeMap<Name, UpstreamView> {
        let view = |name: &Name, announcement: &Announcement| {
            let known = &self.known[name];
            UpstreamView {
                announcement: announcement.clone(),
                heard_age_ms: known.age_ms(now_ms),
                peer_sent_tokens: known.sent_by_peers.values().sum(),
            }
        };
        self.available(now_ms).map(|(name, heard)| (name.clone(), view(name, heard))).collect()
    }

    /// Forgets what has been silent for long.
    pub(crate) fn prune(&mut self, now_ms: u64) {
        self.known.retain(|_, known| known.age_ms(now_ms) <= REMEMBERED_MS);
    }

    fn is_available(&self, now_ms: u64, known: &KnownUpstream) -> bool {
        let left = known.heard.as_ref().is_none_or(|heard| heard.left);
        !left && known.age_ms(now_ms) <= self.expiry_ms
    }
}

fn push_bounded(events: &mut VecDeque<HeardCacheEvent>, event: HeardCacheEvent) {
    if events.len() == MAX_CACHE_EVENTS {
        events.pop_front();
    }
    events.push_back(event);
}
