//! Hosts of the own data centre.
//!
//! Each host is known only by its own heartbeats: nothing that another host
//! relays makes it look alive. Start at [`Neighbours`].

use std::collections::BTreeMap;

use anvillift_schema::membership::{BeatHead, HostRecord};
use anvillift_schema::name::Name;

use crate::sender_clock::SenderClock;
use crate::upstreams::RecordOwner;
use crate::view::HostView;

/// One host of the own data centre.
#[derive(Debug, Default)]
pub(crate) struct Neighbour {
    clock: SenderClock,
    record: Option<HostRecord>,
    version: u64,
    heard_ms: u64,
    /// Upstream records by the number that the host gave them.
    pub(crate) records: BTreeMap<u64, RecordOwner>,
}

/// Hosts of the own data centre heard so far.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    known: BTreeMap<Name, Neighbour>,
    silent_after_ms: u64,
}

impl Neighbour {
    /// Notes which record the host gave a number.
    pub(crate) fn number_record(&mut self, number: u64, owner: RecordOwner) {
        self.records.retain(|_, known| known.upstream != owner.upstream);
        self.records.insert(number, owner);
    }
}

/// What a heartbeat's head told.
pub(crate) struct HeadTaken {
    /// How late the heartbeat is, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Whether the record that it refers to is missing.
    pub(crate) lacks_record: bool,
}

impl Neighbours {
    pub(crate) fn new(silent_after_ms: u64) -> Self {
        Self { silent_after_ms, ..Self::default() }
    }

    /// Takes the head of a heartbeat; `None` if an older incarnation sent it.
    pub(crate) fn take_head(
        &mut self,
        now_ms: u64,
        from: &Name,
        head: &BeatHead,
        record: Option<HostRecord>,
    ) -> Option<HeadTaken> {
        let (incarnation, sent_ms, version, in_flight_requests, revision) = head.0;
        let known = self.known.entry(from.clone()).or_default();
        let restarted = incarnation > known.clock.incarnation();
        let delay_ms = known.clock.delay_ms(now_ms, incarnation, sent_ms)?;
        if restarted {
            *known = Neighbour { clock: known.clock.clone(), ..Neighbour::default() };
        }
        known.heard_ms = known.heard_ms.max(now_ms.saturating_sub(delay_ms));
        let newer = known.record.as_ref().is_none_or(|known| sent_ms > known.heartbeat);
        if let Some(record) = record.filter(|record| newer && record.host == *from) {
            known.record = Some(record);
            known.version = version;
        }
        if let Some(record) = known.record.as_mut().filter(|_| newer) {
            record.heartbeat = sent_ms;
            record.in_flight_requests = in_flight_requests;
            record.revision = record.revision.max(revision);
        }
        let lacks_record = known.record.is_none() || known.version < version;
        Some(HeadTaken { delay_ms, lacks_record })
    }

    /// The host `name`, once heard.
    pub(crate) fn get_mut(&mut self, name: &Name) -> Option<&mut Neighbour> {
        self.known.get_mut(name)
    }

    /// The hosts heard, as the view shows them.
    pub(crate) fn views(&self, now_ms: u64) -> impl Iterator<Item = HostView> {
        let known = self.known.values();
        known.filter_map(move |known| {
            let record = known.record.clone()?;
            let heard_age_ms = now_ms.saturating_sub(known.heard_ms);
            Some(HostView { record, heard_age_ms, alive: heard_age_ms <= self.silent_after_ms })
        })
    }

    /// Records of the hosts alive.
    pub(crate) fn alive(&self, now_ms: u64) -> impl Iterator<Item = &HostRecord> {
        let alive =
            move |known: &&Neighbour| now_ms.saturating_sub(known.heard_ms) <= self.silent_after_ms;
        self.known.values().filter(alive).filter_map(|known| known.record.as_ref())
    }
}
