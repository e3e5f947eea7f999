//! State that a host keeps of one upstream.
//!
//! Announcements arrive directly from the upstream or as records and load
//! updates of other hosts. The state decides which of them is newer, and what
//! this host still has to send to the others.

use std::collections::BTreeMap;

use anvillift_schema::membership::{LoadUpdate, UpstreamRecord};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::{Announcement, UpstreamLoad};

use crate::coarse;
use crate::upstreams::RECORD_REPEATS;

/// An announcement with the time at which a host received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedAnnouncement {
    pub(crate) announcement: Announcement,
    /// When the upstream last announced itself to any host, by the clock of this host.
    pub(crate) last_seen_ms: u64,
    pub(crate) left: bool,
}

/// The latest announcement of an upstream, and the progress of this host's reports
/// about it to other hosts.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub(crate) latest: Option<ReceivedAnnouncement>,
    /// Number of the record that this host sent, if the upstream announces itself to it.
    pub(crate) record_number: Option<u64>,
    pub(crate) repeats_left: u32,
    pub(crate) sent_tokens: u64,
    pub(crate) peer_sent_tokens: BTreeMap<Name, u64>,
    last_sent_record: Option<Announcement>,
    last_direct_ms: u64,
    last_sent_sequence: u64,
}

impl UpstreamState {
    /// Applies an announcement. Returns false, without effect, if it is not newer than the
    /// latest one or if its incarnation has left.
    pub(crate) fn apply_announcement(&mut self, mut received: ReceivedAnnouncement) -> bool {
        if let Some(latest) = &self.latest {
            let incarnation = received.announcement.incarnation;
            let same_incarnation = incarnation == latest.announcement.incarnation;
            let is_newer = received.announcement.sequence > latest.announcement.sequence;
            if incarnation < latest.announcement.incarnation || same_incarnation && latest.left {
                return false;
            }
            if same_incarnation && !is_newer && !received.left {
                return false;
            }
            if same_incarnation {
                received.last_seen_ms = received.last_seen_ms.max(latest.last_seen_ms);
            }
        }
        let sampled_ms = |received: &ReceivedAnnouncement| received.announcement.load.sampled_ms;
        if self.latest.as_ref().map(sampled_ms) != Some(sampled_ms(&received)) {
            self.reset_sent_tokens();
        }
        self.latest = Some(received);
        true
    }

    /// Applies a load update of `incarnation`, unless its sequence is not newer.
    pub(crate) fn apply_load(&mut self, incarnation: u64, last_seen_ms: u64, update: &LoadUpdate) {
        let (_, sequence, _, sampled_ms, coarse_load) = &update.0;
        let Some(latest) = &mut self.latest else { return };
        let announcement = &mut latest.announcement;
        if announcement.incarnation != incarnation || *sequence <= announcement.sequence {
            return;
        }
        announcement.sequence = *sequence;
        latest.last_seen_ms = latest.last_seen_ms.max(last_seen_ms);
        if coarse_load.is_empty() {
            return;
        }
        let sample_is_new = announcement.load.sampled_ms != *sampled_ms;
        announcement.load.sampled_ms = *sampled_ms;
        decode_load(coarse_load, &mut announcement.load);
        if sample_is_new {
            self.reset_sent_tokens();
        }
    }

    /// Notes that this host received the latest announcement directly. If the record
    /// differs from the last one sent, queues it under `record_number` and returns true.
    pub(crate) fn queue_record(&mut self, now_ms: u64, record_number: u64) -> bool {
        let Some(latest) = &self.latest else { return false };
        self.last_direct_ms = now_ms;
        let record = without_load(&latest.announcement);
        if self.record_number.is_some() && self.last_sent_record.as_ref() == Some(&record) {
            return false;
        }
        self.last_sent_record = Some(record);
        self.record_number = Some(record_number);
        self.repeats_left = RECORD_REPEATS;
        true
    }

    /// The record to send; `None` if the upstream never announced itself to this host.
    pub(crate) fn record(&self, now_ms: u64) -> Option<UpstreamRecord> {
        let latest = self.latest.as_ref()?;
        Some(UpstreamRecord {
            number: self.record_number?,
            announcement: Announcement { cache_events: Vec::new(), ..latest.announcement.clone() },
            heard_age_ms: self.age_ms(now_ms),
            left: latest.left,
            sent_tokens: self.sent_tokens,
        })
    }

    /// The load update to send, if a directly received announcement has not been sent yet.
    /// With a `heartbeat_number`, only every second update carries the load; the others
    /// are keep-alives without it.
    pub(crate) fn load_to_send(
        &mut self,
        now_ms: u64,
        heartbeat_number: Option<u64>,
    ) -> Option<LoadUpdate> {
        let latest = self.latest.as_ref()?;
        let record_number = self.record_number?;
        let sequence = latest.announcement.sequence;
        let is_direct = self.last_direct_ms == latest.last_seen_ms;
        if latest.left || !is_direct || sequence == self.last_sent_sequence {
            return None;
        }
        self.last_sent_sequence = sequence;
        let load = &latest.announcement.load;
        let age_ms = self.age_ms(now_ms);
        if heartbeat_number
            .is_some_and(|heartbeat_number| !(heartbeat_number + record_number).is_multiple_of(2))
        {
            return Some(LoadUpdate((record_number, sequence, age_ms, 0, Payload::default())));
        }
        Some(LoadUpdate((record_number, sequence, age_ms, load.sampled_ms, encode_load(load))))
    }

    /// Time since the upstream last announced itself to any host, in milliseconds.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        self.latest.as_ref().map_or(u64::MAX, |latest| now_ms.saturating_sub(latest.last_seen_ms))
    }

    fn reset_sent_tokens(&mut self) {
        self.sent_tokens = 0;
        self.peer_sent_tokens.clear();
    }
}

/// The parts of an announcement that load updates do not carry.
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

fn encode_load(load: &UpstreamLoad) -> Payload {
    let values = [
        u64::from(load.running_requests),
        u64::from(load.queued_requests),
        load.queued_tokens,
        load.token_rate_milli,
        load.prefill_rate_tokens_per_s,
    ];
    Payload::from(values.map(coarse::encode).to_vec())
}

fn decode_load(coarse_load: &Payload, load: &mut UpstreamLoad) {
    let value = |position: usize| coarse_load.get(position).map_or(0, |code| coarse::decode(*code));
    let value_u32 = |position: usize| u32::try_from(value(position)).unwrap_or(u32::MAX);
    load.running_requests = value_u32(0);
    load.queued_requests = value_u32(1);
    load.queued_tokens = value(2);
    load.token_rate_milli = value(3);
    load.prefill_rate_tokens_per_s = value(4);
}
