//! State of the other hosts of the local data centre.
//!
//! A host counts as alive only while its own heartbeats arrive; messages that
//! other hosts relay do not postpone the time at which it counts as silent. Start
//! at [`LocalPeers`].

use std::collections::BTreeMap;

use anvillift_schema::membership::{HeartbeatHead, HostRecord};
use anvillift_schema::name::Name;

use crate::sender_clock::SenderClock;
use crate::upstreams::RecordOwner;
use crate::view::HostView;

/// One other host of the local data centre.
#[derive(Debug, Default)]
pub(crate) struct LocalPeer {
    clock: SenderClock,
    record: Option<HostRecord>,
    record_version: u64,
    last_seen_ms: u64,
    /// Upstreams by the record number that the host assigned to them.
    pub(crate) records: BTreeMap<u64, RecordOwner>,
}

/// The other hosts of the local data centre from which a heartbeat has arrived.
#[derive(Debug, Default)]
pub(crate) struct LocalPeers {
    by_name: BTreeMap<Name, LocalPeer>,
    silent_after_ms: u64,
}

impl LocalPeer {
    /// Stores the record number that the host assigned to an upstream, replacing an older one.
    pub(crate) fn store_record_number(&mut self, number: u64, owner: RecordOwner) {
        self.records.retain(|_, other| other.upstream != owner.upstream);
        self.records.insert(number, owner);
    }
}

/// Outcome of applying the head of a heartbeat.
pub(crate) struct HeadOutcome {
    /// How much longer the heartbeat took than the fastest message, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Whether the host record that the heartbeat refers to has not been received.
    pub(crate) record_missing: bool,
}

impl LocalPeers {
    pub(crate) fn new(silent_after_ms: u64) -> Self {
        Self { silent_after_ms, ..Self::default() }
    }

    /// Applies the head of a heartbeat. Returns `None` if an older incarnation sent it.
    pub(crate) fn apply_head(
        &mut self,
        now_ms: u64,
        from: &Name,
        head: &HeartbeatHead,
        record: Option<HostRecord>,
    ) -> Option<HeadOutcome> {
        let (incarnation, sent_ms, record_version, in_flight_requests, revision) = head.0;
        let peer = self.by_name.entry(from.clone()).or_default();
        let restarted = incarnation > peer.clock.incarnation();
        let delay_ms = peer.clock.delay_ms(now_ms, incarnation, sent_ms)?;
        if restarted {
            *peer = LocalPeer { clock: peer.clock.clone(), ..LocalPeer::default() };
        }
        peer.last_seen_ms = peer.last_seen_ms.max(now_ms.saturating_sub(delay_ms));
        let is_newer = peer.record.as_ref().is_none_or(|record| sent_ms > record.heartbeat);
        if let Some(record) = record.filter(|record| is_newer && record.host == *from) {
            peer.record = Some(record);
            peer.record_version = record_version;
        }
        if let Some(record) = peer.record.as_mut().filter(|_| is_newer) {
            record.heartbeat = sent_ms;
            record.in_flight_requests = in_flight_requests;
            record.revision = record.revision.max(revision);
        }
        let record_missing = peer.record.is_none() || peer.record_version < record_version;
        Some(HeadOutcome { delay_ms, record_missing })
    }

    /// The host `name`; `None` if no heartbeat of it has arrived.
    pub(crate) fn get_mut(&mut self, name: &Name) -> Option<&mut LocalPeer> {
        self.by_name.get_mut(name)
    }

    /// The hosts whose record has been received, as shown in a view.
    pub(crate) fn views(&self, now_ms: u64) -> impl Iterator<Item = HostView> {
        let peers = self.by_name.values();
        peers.filter_map(move |peer| {
            let record = peer.record.clone()?;
            let last_seen_age_ms = now_ms.saturating_sub(peer.last_seen_ms);
            Some(HostView {
                record,
                last_seen_age_ms,
                alive: last_seen_age_ms <= self.silent_after_ms,
            })
        })
    }

    /// Records of the hosts that are alive.
    pub(crate) fn alive(&self, now_ms: u64) -> impl Iterator<Item = &HostRecord> {
        let alive = move |peer: &&LocalPeer| {
            now_ms.saturating_sub(peer.last_seen_ms) <= self.silent_after_ms
        };
        self.by_name.values().filter(alive).filter_map(|peer| peer.record.as_ref())
    }
}
