//! Heartbeats inside the own data centre.

use anvillift_schema::membership::{Beat, BeatHead, HostRecord, MembershipMessage};
use anvillift_schema::name::Name;

use super::{BUDGET_BYTES_PER_S, Members, Outgoing};
use crate::rank;
use crate::upstreams::{REPEATED_BEATS, RecordOwner};

/// What may be filled up with news that can be left out, in bytes a second.
const FILLED_BYTES_PER_S: u64 = BUDGET_BYTES_PER_S * 7 / 8;
/// Bytes of a heartbeat without its lists, about.
const BEAT_BYTES: u64 = 80;
/// Bytes of the news of one upstream's load, about.
const LOAD_BYTES: u64 = 24;
/// Bytes of a digest, about.
const DIGEST_BYTES: u64 = 96;
/// Bytes of a count of sent tokens, about.
const SENT_BYTES: u64 = 32;

impl Members {
    pub(super) fn has_urgent_news(&self) -> bool {
        let own_changed = self.record_repeats == REPEATED_BEATS;
        own_changed || self.upstreams.has_untold_records() || self.remotes.has_urgent()
    }

    pub(super) fn beats(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.own.heartbeat = now_ms;
        let mut beat = self.empty_beat(now_ms);
        if self.record_repeats > 0 {
            self.record_repeats -= 1;
            beat.record = Some(self.own.clone());
        }
        let relay = self.remotes.relay(now_ms);
        beat.digests = relay.digests;
        beat.rosters = relay.rosters;
        beat.upstreams = self.upstreams.records_to_tell(now_ms);
        beat.loads = {
            let turn = self.settings.is_large(self.near.len()).then_some(self.beat_number);
            self.upstreams.loads_to_tell(now_ms, turn)
        };
        let mut spare = self.spare_bytes(&beat);
        beat.sent = self.upstreams.sent_to_tell(now_ms);
        beat.sent.truncate((spare / SENT_BYTES) as usize);
        spare -= beat.sent.len() as u64 * SENT_BYTES;
        beat.cache = self.upstreams.cache_to_tell(spare);
        let to_peer =
            |to: &Name| Outgoing { to: to.clone(), message: MembershipMessage::Beat(beat.clone()) };
        self.near.iter().map(to_peer).collect()
    }

    /// Bytes that the budget leaves in a heartbeat for sent tokens and cache events.
    fn spare_bytes(&self, beat: &Beat) -> u64 {
        let peers = self.near.len().max(1) as u64;
        let towards_far = self.far.len() as u64 * rank::DELEGATES as u64 * DIGEST_BYTES;
        let budget = FILLED_BYTES_PER_S.saturating_sub(towards_far / (peers + 1));
        let beat_budget = budget * self.settings.beat_ms(peers) / 1000 / peers;
        let used = BEAT_BYTES
            + beat.loads.len() as u64 * LOAD_BYTES
            + beat.digests.len() as u64 * DIGEST_BYTES;
        beat_budget.saturating_sub(used)
    }

    fn empty_beat(&self, now_ms: u64) -> Beat {
        let own = &self.own;
        let head = (own.incarnation, now_ms, self.version, own.in_flight_requests, own.revision);
        Beat {
            head: BeatHead(head),
            record: None,
            upstreams: Vec::new(),
            loads: Vec::new(),
            cache: Vec::new(),
            sent: Vec::new(),
            digests: Vec::new(),
            rosters: Vec::new(),
            want_records: None,
            want_rosters: Vec::new(),
        }
    }

    pub(super) fn receive_beat(&mut self, now_ms: u64, from: &Name, beat: Beat) -> Vec<Outgoing> {
        let head = self.neighbours.take_head(now_ms, from, &beat.head, beat.record.clone());
        let Some(head) = head else { return Vec::new() };
        let lacks_number = self.take_upstream_news(now_ms - head.delay_ms.min(now_ms), from, &beat);
        let lacking = self.take_remote_news(now_ms, head.delay_ms, &beat);
        let wants = head.lacks_record || lacks_number;
        let asked = beat.want_records == Some(true);
        if !wants && !asked && lacking.is_empty() && beat.want_rosters.is_empty() {
            return Vec::new();
        }
        let mut reply = self.empty_beat(now_ms);
        reply.want_records = wants.then_some(true);
        reply.want_rosters = lacking;
        if asked {
            reply.record = Some(HostRecord { heartbeat: now_ms, ..self.own.clone() });
            reply.upstreams = self.upstreams.all_records(now_ms);
        }
        let wanted = beat.want_rosters.iter();
        reply.rosters = wanted.flat_map(|centre| self.remotes.spread_rosters(centre)).collect();
        vec![Outgoing { to: from.clone(), message: MembershipMessage::Beat(reply) }]
    }

    /// Takes what a host sent at `sent_ms` of upstreams; true if it refers to an unknown record.
    fn take_upstream_news(&mut self, sent_ms: u64, from: &Name, beat: &Beat) -> bool {
        let Some(neighbour) = self.neighbours.get_mut(from) else { return true };
        let mut lacks = false;
        for record in &beat.upstreams {
            let owner = RecordOwner {
                upstream: record.announcement.upstream.clone(),
                incarnation: record.announcement.incarnation,
            };
            neighbour.number_record(record.number, owner);
            let heard_ms = sent_ms.saturating_sub(record.heard_age_ms);
            self.upstreams.take_record(heard_ms, record.clone());
        }
        for news in &beat.loads {
            match neighbour.records.get(&news.0.0) {
                Some(owner) => {
                    let heard_ms = sent_ms.saturating_sub(news.0.2);
                    self.upstreams.take_load(owner, heard_ms, news);
                }
                None => lacks = true,
            }
        }
        for news in &beat.cache {
            if let Some(owner) = neighbour.records.get(&news.0.0) {
                self.upstreams.take_cache(owner, news.clone());
            }
        }
        for news in &beat.sent {
            self.upstreams.take_sent(from, news.clone());
        }
        lacks
    }

    /// Takes relayed digests; gives the data centres whose rosters are missing.
    fn take_remote_news(&mut self, now_ms: u64, delay_ms: u64, beat: &Beat) -> Vec<Name> {
        for roster in &beat.rosters {
            if self.far.contains_key(&roster.data_centre) {
                self.remotes.take_roster(now_ms, roster.clone());
            }
        }
        let mut lacking = Vec::new();
        for digest in &beat.digests {
            let Some(peer) = self.settings.peers.get(&digest.0.0) else { continue };
            let centre = peer.data_centre.clone();
            if centre == self.own.data_centre {
                continue;
            }
            let made_ms = now_ms.saturating_sub(delay_ms + digest.0.3);
            if !self.remotes.has_roster(&centre, digest.0.4) {
                lacking.push(centre.clone());
            }
            self.remotes.take_relayed(now_ms, &centre, made_ms, digest.clone());
        }
        lacking
    }
}
