//! State of one other data centre.
//!
//! Keeps the newest digest of each delegate, the rosters that the digests refer
//! to, and which digests have been relayed inside the local data centre.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::membership::{DataCentreSummary, Digest, HostRecord, Roster, ServiceSummary};
use anvillift_schema::name::Name;

use crate::roster;
use crate::view::HostView;

/// Number of rosters kept of a data centre.
const MAX_ROSTERS: usize = 4;
/// Age difference up to which digests of several delegates are compared, in milliseconds.
/// A delegate that is partitioned from its own data centre sees only itself, so a digest
/// with less than half of the hosts of another recent one is ignored. If most hosts of a
/// data centre fail, the last digests of the failed delegates are older than this
/// difference, so they do not rule out the digests of the remaining hosts.
const COMPARISON_WINDOW_MS: u64 = 2000;

/// The newest digest received of one delegate.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedDigest {
    pub(crate) digest: Digest,
    /// When the delegate created it, by the clock of this host.
    pub(crate) created_ms: u64,
}

impl ReceivedDigest {
    pub(crate) fn checksum(&self) -> u32 {
        self.digest.0.4
    }

    fn order_key(digest: &Digest) -> (u64, u64) {
        (digest.0.1, digest.0.2)
    }
}

/// The last digest of a delegate that was relayed inside the local data centre.
#[derive(Clone, Copy, Debug)]
struct RelayedDigest {
    created_ms: u64,
    checksum: u32,
}

/// Why a digest must be relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayCause {
    /// It refers to a roster that has not been relayed yet.
    NewRoster,
    /// The previous digest of the delegate referred to another roster.
    Changed,
    /// The relay interval has passed.
    Due,
}

/// State of one other data centre as this host received it.
#[derive(Debug, Default)]
pub(crate) struct RemoteDataCentre {
    digests: BTreeMap<Name, ReceivedDigest>,
    rosters: BTreeMap<u32, (u64, Roster)>,
    last_seen: BTreeMap<Name, (HostRecord, u64)>,
    /// Digests that were relayed inside the local data centre, by delegate.
    relayed: BTreeMap<Name, RelayedDigest>,
}

impl RemoteDataCentre {
    /// Stores a digest created at `created_ms`. Returns false if it is not newer than the
    /// stored one of the same delegate.
    pub(crate) fn insert_digest(&mut self, created_ms: u64, digest: Digest) -> bool {
        let delegate = digest.0.0.clone();
        let stored = self.digests.get(&delegate);
        let order_key = ReceivedDigest::order_key(&digest);
        if stored.is_some_and(|stored| order_key <= ReceivedDigest::order_key(&stored.digest)) {
            return false;
        }
        self.digests.insert(delegate, ReceivedDigest { digest, created_ms });
        true
    }

    /// Stores a roster under its checksum and evicts the oldest beyond [`MAX_ROSTERS`].
    pub(crate) fn insert_roster(&mut self, now_ms: u64, roster: Roster) {
        self.rosters.insert(roster::checksum(&roster), (now_ms, roster));
        while self.rosters.len() > MAX_ROSTERS {
            let oldest = self.rosters.iter().min_by_key(|(_, (inserted_ms, _))| *inserted_ms);
            let Some((&checksum, _)) = oldest else { return };
            self.rosters.remove(&checksum);
        }
    }

    /// Why a digest must be relayed now, if it must; unchanged ones are due every `interval_ms`.
    pub(crate) fn relay_cause(
        &self,
        created_ms: u64,
        digest: &Digest,
        interval_ms: u64,
    ) -> Option<RelayCause> {
        let checksum = digest.0.4;
        let last = self.relayed.get(&digest.0.0);
        if last.is_some_and(|last| last.created_ms >= created_ms) || self.roster(checksum).is_none()
        {
            return None;
        }
        let same_roster = self.relayed.values().filter(|relayed| relayed.checksum == checksum);
        let Some(last_same_roster_ms) = same_roster.map(|relayed| relayed.created_ms).max() else {
            return Some(RelayCause::NewRoster);
        };
        if last.is_some_and(|last| last.checksum != checksum) {
            return Some(RelayCause::Changed);
        }
        (created_ms >= last_same_roster_ms + interval_ms).then_some(RelayCause::Due)
    }

    /// Marks a digest as relayed inside the local data centre, unless a newer one of the same
    /// delegate is marked already.
    pub(crate) fn mark_relayed(&mut self, created_ms: u64, digest: &Digest) {
        let relayed = RelayedDigest { created_ms, checksum: digest.0.4 };
        let last = self.relayed.entry(digest.0.0.clone()).or_insert(relayed);
        if created_ms >= last.created_ms {
            *last = relayed;
        }
    }

    /// The rosters to which the relayed digests refer.
    pub(crate) fn relayed_rosters(&self) -> Vec<Roster> {
        let checksums: BTreeSet<u32> =
            self.relayed.values().map(|relayed| relayed.checksum).collect();
        checksums.into_iter().filter_map(|checksum| self.roster(checksum).cloned()).collect()
    }

    /// Removes the marks of relayed digests that are older than `max_age_ms`.
    pub(crate) fn prune(&mut self, now_ms: u64, max_age_ms: u64) {
        self.relayed.retain(|_, relayed| now_ms.saturating_sub(relayed.created_ms) <= max_age_ms);
    }

    pub(crate) fn roster(&self, checksum: u32) -> Option<&Roster> {
        self.rosters.get(&checksum).map(|(_, roster)| roster)
    }

    /// The newest digest that is no older than `max_age_ms`, whose roster has been received,
    /// and which is not ignored by the comparison described at [`COMPARISON_WINDOW_MS`].
    pub(crate) fn current(
        &self,
        now_ms: u64,
        max_age_ms: u64,
    ) -> Option<(&ReceivedDigest, &Roster)> {
        let fresh = self.digests.values().filter_map(|received| {
            let is_fresh = now_ms.saturating_sub(received.created_ms) <= max_age_ms;
            Some((received, self.roster(received.checksum())?)).filter(|_| is_fresh)
        });
        let fresh: Vec<_> = fresh.collect();
        let newest_ms = fresh.iter().map(|(received, _)| received.created_ms).max()?;
        let is_recent =
            |received: &ReceivedDigest| received.created_ms + COMPARISON_WINDOW_MS > newest_ms;
        let host_counts = fresh.iter().filter(|(received, _)| is_recent(received));
        let most_hosts = host_counts.map(|(_, roster)| roster.hosts.len()).max()?;
        let eligible = fresh.into_iter().filter(|(_, roster)| roster.hosts.len() * 2 >= most_hosts);
        eligible.max_by_key(|(received, _)| received.created_ms)
    }

    /// Stores the hosts of the current digest, with its creation as the time at which they
    /// were last seen.
    pub(crate) fn update_last_seen(&mut self, now_ms: u64, max_age_ms: u64) {
        let Some((received, roster)) = self.current(now_ms, max_age_ms) else { return };
        let created_ms = received.created_ms;
        let hosts = roster::with_revisions(roster, &received.digest.0.5);
        for record in hosts {
            self.last_seen.insert(record.host.clone(), (record, created_ms));
        }
    }

    /// All hosts seen so far, as shown in a view.
    pub(crate) fn host_views(&self, now_ms: u64, max_age_ms: u64) -> Vec<HostView> {
        let current = self.current(now_ms, max_age_ms);
        let alive_hosts: BTreeSet<&Name> = current
            .map(|(_, roster)| roster.hosts.iter().map(|record| &record.host).collect())
            .unwrap_or_default();
        let view = |(record, last_seen_ms): &(HostRecord, u64)| HostView {
            record: record.clone(),
            last_seen_age_ms: now_ms.saturating_sub(*last_seen_ms),
            alive: alive_hosts.contains(&record.host),
        };
        self.last_seen.values().map(view).collect()
    }

    /// Names of the hosts that are alive by the current digest.
    pub(crate) fn alive(&self, now_ms: u64, max_age_ms: u64) -> Vec<&Name> {
        let current = self.current(now_ms, max_age_ms);
        let hosts = current.map(|(_, roster)| &roster.hosts[..]).unwrap_or_default();
        hosts.iter().map(|record| &record.host).collect()
    }

    /// The summary decoded from the current digest, with its age in milliseconds.
    pub(crate) fn summary(&self, now_ms: u64, max_age_ms: u64) -> Option<(DataCentreSummary, u64)> {
        let (received, roster) = self.current(now_ms, max_age_ms)?;
        let (delegate, incarnation, sequence, _, _, revisions, coarse_numbers) = &received.digest.0;
        let services =
            roster.services.iter().zip(coarse_numbers.chunks(roster::ENCODED_SERVICE_BYTES));
        let services =
            services.map(|(name, coarse_numbers)| roster::decode_service(name, coarse_numbers));
        let summary = DataCentreSummary {
            data_centre: roster.data_centre.clone(),
            region: roster.hosts.first().map(|host| host.region.clone()).unwrap_or_default(),
            incarnation: *incarnation,
            sequence: *sequence,
            delegate: delegate.clone(),
            hosts: roster::with_revisions(roster, revisions),
            services: services.collect::<Vec<ServiceSummary>>(),
        };
        Some((summary, now_ms.saturating_sub(received.created_ms)))
    }
}
