//! Sends heartbeats to the hosts of the local data centre and receives theirs.
//!
//! Every heartbeat carries load updates and due digests; records are repeated in
//! several heartbeats after a change. Counts of sent tokens and cache events are
//! added as far as the bandwidth budget allows. A receiver that misses a record or
//! a roster requests it in a reply.

use anvillift_schema::membership::{Heartbeat, HeartbeatHead, HostRecord, MembershipMessage};
use anvillift_schema::name::Name;

use super::{BUDGET_BYTES_PER_S, Membership, OutgoingMessage};
use crate::delegates;
use crate::upstreams::{RECORD_REPEATS, RecordOwner};

/// Rate up to which heartbeats are filled with optional content, that is counts of sent
/// tokens and cache events, in bytes per second.
const OPTIONAL_FILL_BYTES_PER_S: u64 = BUDGET_BYTES_PER_S * 7 / 8;
/// Approximate size of a heartbeat without its lists.
const HEARTBEAT_BYTES: u64 = 80;
/// Approximate size of the load update of one upstream.
const LOAD_BYTES: u64 = 24;
/// Approximate size of a digest.
const DIGEST_BYTES: u64 = 96;
/// Approximate size of a count of sent tokens.
const SENT_TOKENS_BYTES: u64 = 32;

impl Membership {
    pub(super) fn has_urgent_updates(&self) -> bool {
        let own_changed = self.record_repeats_left == RECORD_REPEATS;
        own_changed
            || self.upstreams.has_unsent_records()
            || self.remote_data_centres.has_urgent_digests()
    }

    pub(super) fn heartbeats(&mut self, now_ms: u64) -> Vec<OutgoingMessage> {
        self.own.heartbeat = now_ms;
        let mut heartbeat = self.empty_heartbeat(now_ms);
        if self.record_repeats_left > 0 {
            self.record_repeats_left -= 1;
            heartbeat.record = Some(self.own.clone());
        }
        let relay = self.remote_data_centres.take_relay_batch(now_ms);
        heartbeat.digests = relay.digests;
        heartbeat.rosters = relay.rosters;
        heartbeat.upstreams = self.upstreams.records_to_send(now_ms);
        heartbeat.loads = {
            let heartbeat_number = self
                .settings
                .sends_load_alternately(self.local_peer_names.len())
                .then_some(self.heartbeat_number);
            self.upstreams.loads_to_send(now_ms, heartbeat_number)
        };
        let mut spare_bytes = self.spare_bytes(&heartbeat);
        heartbeat.sent = self.upstreams.sent_tokens_to_send(now_ms);
        heartbeat.sent.truncate((spare_bytes / SENT_TOKENS_BYTES) as usize);
        spare_bytes -= heartbeat.sent.len() as u64 * SENT_TOKENS_BYTES;
        heartbeat.cache = self.upstreams.cache_events_to_send(spare_bytes);
        let to_peer = |to: &Name| OutgoingMessage {
            to: to.clone(),
            message: MembershipMessage::Beat(heartbeat.clone()),
        };
        self.local_peer_names.iter().map(to_peer).collect()
    }

    /// Bytes that the budget leaves in a heartbeat for counts of sent tokens and cache events.
    fn spare_bytes(&self, heartbeat: &Heartbeat) -> u64 {
        let peers = self.local_peer_names.len().max(1) as u64;
        let remote_bytes_per_s = self.remote_host_names.len() as u64
            * delegates::DELEGATES_PER_PAIR as u64
            * DIGEST_BYTES;
        let local_bytes_per_s =
            OPTIONAL_FILL_BYTES_PER_S.saturating_sub(remote_bytes_per_s / (peers + 1));
        let heartbeat_bytes =
            local_bytes_per_s * self.settings.heartbeat_interval_ms(peers) / 1000 / peers;
        let used_bytes = HEARTBEAT_BYTES
            + heartbeat.loads.len() as u64 * LOAD_BYTES
            + heartbeat.digests.len() as u64 * DIGEST_BYTES;
        heartbeat_bytes.saturating_sub(used_bytes)
    }

    fn empty_heartbeat(&self, now_ms: u64) -> Heartbeat {
        let own = &self.own;
        let head =
            (own.incarnation, now_ms, self.record_version, own.in_flight_requests, own.revision);
        Heartbeat {
            head: HeartbeatHead(head),
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

    pub(super) fn receive_heartbeat(
        &mut self,
        now_ms: u64,
        from: &Name,
        heartbeat: Heartbeat,
    ) -> Vec<OutgoingMessage> {
        let head =
            self.local_peers.apply_head(now_ms, from, &heartbeat.head, heartbeat.record.clone());
        let Some(head) = head else { return Vec::new() };
        let has_unknown_record_number =
            self.apply_upstream_updates(now_ms - head.delay_ms.min(now_ms), from, &heartbeat);
        let missing_rosters = self.apply_remote_updates(now_ms, head.delay_ms, &heartbeat);
        let needs_records = head.record_missing || has_unknown_record_number;
        let records_requested = heartbeat.want_records == Some(true);
        if !needs_records
            && !records_requested
            && missing_rosters.is_empty()
            && heartbeat.want_rosters.is_empty()
        {
            return Vec::new();
        }
        let mut reply = self.empty_heartbeat(now_ms);
        reply.want_records = needs_records.then_some(true);
        reply.want_rosters = missing_rosters;
        if records_requested {
            reply.record = Some(HostRecord { heartbeat: now_ms, ..self.own.clone() });
            reply.upstreams = self.upstreams.all_records(now_ms);
        }
        let requested = heartbeat.want_rosters.iter();
        reply.rosters = requested
            .flat_map(|data_centre| self.remote_data_centres.relayed_rosters(data_centre))
            .collect();
        vec![OutgoingMessage { to: from.clone(), message: MembershipMessage::Beat(reply) }]
    }

    /// Applies the upstream updates of a heartbeat sent at `sent_ms`. Returns true if a load
    /// update refers to a record that has not been received.
    fn apply_upstream_updates(&mut self, sent_ms: u64, from: &Name, heartbeat: &Heartbeat) -> bool {
        let Some(peer) = self.local_peers.get_mut(from) else { return true };
        let mut has_unknown_record_number = false;
        for record in &heartbeat.upstreams {
            let owner = RecordOwner {
                upstream: record.announcement.upstream.clone(),
                incarnation: record.announcement.incarnation,
            };
            peer.store_record_number(record.number, owner);
            let last_seen_ms = sent_ms.saturating_sub(record.heard_age_ms);
            self.upstreams.apply_record(last_seen_ms, record.clone());
        }
        for update in &heartbeat.loads {
            match peer.records.get(&update.0.0) {
                Some(owner) => {
                    let last_seen_ms = sent_ms.saturating_sub(update.0.2);
                    self.upstreams.apply_load(owner, last_seen_ms, update);
                }
                None => has_unknown_record_number = true,
            }
        }
        for update in &heartbeat.cache {
            if let Some(owner) = peer.records.get(&update.0.0) {
                self.upstreams.apply_cache_event(owner, update.clone());
            }
        }
        for update in &heartbeat.sent {
            self.upstreams.apply_sent_tokens(from, update.clone());
        }
        has_unknown_record_number
    }

    /// Applies relayed rosters and digests. Returns the data centres whose rosters are missing.
    fn apply_remote_updates(
        &mut self,
        now_ms: u64,
        delay_ms: u64,
        heartbeat: &Heartbeat,
    ) -> Vec<Name> {
        for roster in &heartbeat.rosters {
            if self.remote_host_names.contains_key(&roster.data_centre) {
                self.remote_data_centres.insert_roster(now_ms, roster.clone());
            }
        }
        let mut missing_rosters = Vec::new();
        for digest in &heartbeat.digests {
            let Some(peer) = self.settings.peers.get(&digest.0.0) else { continue };
            let data_centre = peer.data_centre.clone();
            if data_centre == self.own.data_centre {
                continue;
            }
            let created_ms = now_ms.saturating_sub(delay_ms + digest.0.3);
            if !self.remote_data_centres.has_roster(&data_centre, digest.0.4) {
                missing_rosters.push(data_centre.clone());
            }
            self.remote_data_centres.receive_relayed(
                now_ms,
                &data_centre,
                created_ms,
                digest.clone(),
            );
        }
        missing_rosters
    }
}
