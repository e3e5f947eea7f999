//! Other data centres.
//!
//! Two delegates of each send a digest to two delegates here, who relay it in
//! their heartbeats. A digest is ordered by the delegate's incarnation and
//! sequence and carries its age. Start at [`Remotes`].

use std::collections::BTreeMap;

use anvillift_schema::membership::{Digest, Roster};
use anvillift_schema::name::Name;

use crate::remote_centre::{RelayCause, RemoteCentre};
use crate::sender_clock::SenderClock;
use crate::view::{DataCentreView, HostView};

/// How much sooner than after a whole interval a digest may be relayed, in milliseconds.
const RELAY_SLACK_MS: u64 = 100;

/// Digests and rosters to relay.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    pub(crate) digests: Vec<Digest>,
    pub(crate) rosters: Vec<Roster>,
}

/// All other data centres.
#[derive(Debug, Default)]
pub(crate) struct Remotes {
    centres: BTreeMap<Name, RemoteCentre>,
    clocks: BTreeMap<Name, SenderClock>,
    /// Newest digest received straight from each delegate, by data centre and delegate.
    direct: BTreeMap<(Name, Name), (u64, Digest)>,
    limit_ms: u64,
    interval_ms: u64,
}

impl Remotes {
    /// Other data centres whose digests count for `limit_ms` after they were made and are
    /// relayed every `interval_ms`.
    pub(crate) fn new(limit_ms: u64, interval_ms: u64) -> Self {
        Self { limit_ms, interval_ms, ..Self::default() }
    }

    /// How late a message from a delegate is; `None` if an older incarnation sent it.
    pub(crate) fn delay_ms(
        &mut self,
        now_ms: u64,
        from: &Name,
        incarnation: u64,
        sent_ms: u64,
    ) -> Option<u64> {
        self.clocks.entry(from.clone()).or_default().delay_ms(now_ms, incarnation, sent_ms)
    }

    /// Takes a digest received straight from a delegate of `centre`.
    pub(crate) fn take_direct(&mut self, now_ms: u64, centre: &Name, made_ms: u64, digest: Digest) {
        if self.take(now_ms, centre, made_ms, digest.clone()) {
            let delegate = digest.0.0.clone();
            self.direct.insert((centre.clone(), delegate), (made_ms, digest));
        }
    }

    /// Takes a digest relayed by a host of the own data centre.
    pub(crate) fn take_relayed(
        &mut self,
        now_ms: u64,
        centre: &Name,
        made_ms: u64,
        digest: Digest,
    ) {
        self.centres.entry(centre.clone()).or_default().note_spread(made_ms, &digest);
        self.take(now_ms, centre, made_ms, digest);
    }

    fn take(&mut self, now_ms: u64, centre: &Name, made_ms: u64, digest: Digest) -> bool {
        let limit_ms = self.limit_ms;
        let known = self.centres.entry(centre.clone()).or_default();
        let taken = known.take_digest(made_ms, digest);
        known.refresh(now_ms, limit_ms);
        taken
    }

    /// Keeps a roster.
    pub(crate) fn take_roster(&mut self, now_ms: u64, roster: Roster) {
        let limit_ms = self.limit_ms;
        let known = self.centres.entry(roster.data_centre.clone()).or_default();
        known.take_roster(now_ms, roster);
        known.refresh(now_ms, limit_ms);
    }

    /// Whether the roster of a checksum is known.
    pub(crate) fn has_roster(&self, centre: &Name, checksum: u32) -> bool {
        self.centres.get(centre).is_some_and(|known| known.roster(checksum).is_some())
    }

    /// The rosters of a data centre that were told here.
    pub(crate) fn spread_rosters(&self, centre: &Name) -> Vec<Roster> {
        self.centres.get(centre).map(RemoteCentre::spread_rosters).unwrap_or_default()
    }

    /// What the own host, as a delegate, should relay now.
    pub(crate) fn relay(&mut self, now_ms: u64) -> Relay {
        let mut relay = Relay::default();
        let gap_ms = self.relay_gap_ms();
        for ((centre, _), (made_ms, digest)) in &self.direct {
            let Some(known) = self.centres.get_mut(centre) else { continue };
            let Some(cause) = known.relay_cause(*made_ms, digest, gap_ms) else { continue };
            known.note_spread(*made_ms, digest);
            if cause == RelayCause::NewRoster {
                relay.rosters.extend(known.roster(digest.0.4).cloned());
            }
            let mut digest = digest.clone();
            digest.0.3 = now_ms.saturating_sub(*made_ms);
            relay.digests.push(digest);
        }
        relay
    }

    /// Whether a changed roster waits to be relayed.
    pub(crate) fn has_urgent(&self) -> bool {
        let gap_ms = self.relay_gap_ms();
        self.direct.iter().any(|((centre, _), (made_ms, digest))| {
            let known = self.centres.get(centre);
            let cause = known.and_then(|known| known.relay_cause(*made_ms, digest, gap_ms));
            matches!(cause, Some(RelayCause::NewRoster | RelayCause::Changed))
        })
    }

    fn relay_gap_ms(&self) -> u64 {
        self.interval_ms - RELAY_SLACK_MS
    }

    /// Hosts alive in a data centre.
    pub(crate) fn alive(&self, now_ms: u64, centre: &Name) -> Vec<&Name> {
        let known = self.centres.get(centre);
        known.map(|known| known.alive(now_ms, self.limit_ms)).unwrap_or_default()
    }

    /// Every host seen in other data centres.
    pub(crate) fn host_views(&self, now_ms: u64) -> impl Iterator<Item = HostView> {
        self.centres.values().flat_map(move |known| known.host_views(now_ms, self.limit_ms))
    }

    /// The data centres heard of within the limit.
    pub(crate) fn views(&self, now_ms: u64) -> BTreeMap<Name, DataCentreView> {
        let view = |(name, known): (&Name, &RemoteCentre)| {
            let (summary, age_ms) = known.summary(now_ms, self.limit_ms)?;
            Some((name.clone(), DataCentreView { summary, age_ms }))
        };
        self.centres.iter().filter_map(view).collect()
    }

    /// Drops digests that count no more.
    pub(crate) fn prune(&mut self, now_ms: u64) {
        let limit_ms = self.limit_ms;
        self.direct.retain(|_, (made_ms, _)| now_ms.saturating_sub(*made_ms) <= limit_ms);
        for known in self.centres.values_mut() {
            known.prune(now_ms, limit_ms);
        }
    }
}
