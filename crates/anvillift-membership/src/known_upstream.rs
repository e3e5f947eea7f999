//! What is known of one upstream.

use std::collections::BTreeMap;

use anvillift_schema::membership::{LoadNews, UpstreamRecord};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::{Announcement, UpstreamLoad};

use crate::coarse;
use crate::upstreams::REPEATED_BEATS;

/// The newest announcement of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Heard {
    pub(crate) announcement: Announcement,
    /// When it was heard directly, by whichever host.
    pub(crate) heard_ms: u64,
    pub(crate) left: bool,
}

/// An upstream with what the own host tells of it.
#[derive(Debug, Default)]
pub(crate) struct KnownUpstream {
    pub(crate) heard: Option<Heard>,
    /// Number under which the own host told it, if it heard it directly.
    pub(crate) number: Option<u64>,
    pub(crate) repeats_left: u32,
    pub(crate) sent_tokens: u64,
    pub(crate) sent_by_peers: BTreeMap<Name, u64>,
    told: Option<Announcement>,
    direct_ms: u64,
    told_sequence: u64,
}

impl KnownUpstream {
    /// Takes an announcement if it is newer than what is known and its incarnation has not left.
    pub(crate) fn take(&mut self, mut heard: Heard) -> bool {
        if let Some(known) = &self.heard {
            let incarnation = heard.announcement.incarnation;
            let same = incarnation == known.announcement.incarnation;
            let newer = heard.announcement.sequence > known.announcement.sequence;
            if incarnation < known.announcement.incarnation || same && known.left {
                return false;
            }
            if same && !newer && !heard.left {
                return false;
            }
            if same {
                heard.heard_ms = heard.heard_ms.max(known.heard_ms);
            }
        }
        let sampled_ms = |heard: &Heard| heard.announcement.load.sampled_ms;
        if self.heard.as_ref().map(sampled_ms) != Some(sampled_ms(&heard)) {
            self.forget_sent();
        }
        self.heard = Some(heard);
        true
    }

    /// Takes load news of an incarnation.
    pub(crate) fn take_load(&mut self, incarnation: u64, heard_ms: u64, news: &LoadNews) {
        let (_, sequence, _, sampled_ms, numbers) = &news.0;
        let Some(heard) = &mut self.heard else { return };
        let announcement = &mut heard.announcement;
        if announcement.incarnation != incarnation || *sequence <= announcement.sequence {
            return;
        }
        announcement.sequence = *sequence;
        heard.heard_ms = heard.heard_ms.max(heard_ms);
        if numbers.is_empty() {
            return;
        }
        let sample_is_new = announcement.load.sampled_ms != *sampled_ms;
        announcement.load.sampled_ms = *sampled_ms;
        read_load(numbers, &mut announcement.load);
        if sample_is_new {
            self.forget_sent();
        }
    }

    /// Notes what was heard directly; true if it takes `number` because its record is new.
    pub(crate) fn tell(&mut self, now_ms: u64, number: u64) -> bool {
        let Some(heard) = &self.heard else { return false };
        self.direct_ms = now_ms;
        let plain = without_load(&heard.announcement);
        if self.number.is_some() && self.told.as_ref() == Some(&plain) {
            return false;
        }
        self.told = Some(plain);
        self.number = Some(number);
        self.repeats_left = REPEATED_BEATS;
        true
    }

    /// The record to tell, if it was heard directly.
    pub(crate) fn record(&self, now_ms: u64) -> Option<UpstreamRecord> {
        let heard = self.heard.as_ref()?;
        Some(UpstreamRecord {
            number: self.number?,
            announcement: Announcement { cache_events: Vec::new(), ..heard.announcement.clone() },
            heard_age_ms: self.age_ms(now_ms),
            left: heard.left,
            sent_tokens: self.sent_tokens,
        })
    }

    /// Load news, if an announcement heard directly has not been told; without load if
    /// it is not its turn.
    pub(crate) fn load_to_tell(&mut self, now_ms: u64, turn: Option<u64>) -> Option<LoadNews> {
        let heard = self.heard.as_ref()?;
        let number = self.number?;
        let sequence = heard.announcement.sequence;
        let direct = self.direct_ms == heard.heard_ms;
        if heard.left || !direct || sequence == self.told_sequence {
            return None;
        }
        self.told_sequence = sequence;
        let load = &heard.announcement.load;
        let age_ms = self.age_ms(now_ms);
        if turn.is_some_and(|turn| !(turn + number).is_multiple_of(2)) {
            return Some(LoadNews((number, sequence, age_ms, 0, Payload::default())));
        }
        Some(LoadNews((number, sequence, age_ms, load.sampled_ms, write_load(load))))
    }

    /// Time since it was heard directly by any host.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        self.heard.as_ref().map_or(u64::MAX, |heard| now_ms.saturating_sub(heard.heard_ms))
    }

    fn forget_sent(&mut self) {
        self.sent_tokens = 0;
        self.sent_by_peers.clear();
    }
}

/// The parts of an announcement that load news do not carry.
fn without_load(announcement: &Announcement) -> Announcement {
    Announcement {
        sequence: 0,
        cache_events: Vec::new(),
        load: UpstreamLoad {
            max_running_requests: announcement.load.max_running_requests,
            ..UpstreamLoad::default()
        },
        ..announcement.clone()
    }
}

fn write_load(load: &UpstreamLoad) -> Payload {
    let numbers = [
        u64::from(load.running_requests),
        u64::from(load.queued_requests),
        load.queued_tokens,
        load.token_rate_milli,
        load.prefill_rate_tokens_per_s,
    ];
    Payload::from(numbers.map(coarse::encode).to_vec())
}

fn read_load(numbers: &Payload, load: &mut UpstreamLoad) {
    let number = |position: usize| numbers.get(position).map_or(0, |code| coarse::decode(*code));
    let small = |position: usize| u32::try_from(number(position)).unwrap_or(u32::MAX);
    load.running_requests = small(0);
    load.queued_requests = small(1);
    load.queued_tokens = number(2);
    load.token_rate_milli = number(3);
    load.prefill_rate_tokens_per_s = number(4);
}
