//! What is known of one other data centre.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::membership::{DataCentreSummary, Digest, HostRecord, Roster, ServiceSummary};
use anvillift_schema::name::Name;

use crate::roster;
use crate::view::HostView;

/// Rosters of a data centre kept by checksum.
const MAX_ROSTERS: usize = 4;
/// A host cut from its own data centre sees only itself: a digest with less than half
/// of the hosts of another made within this time does not count. Delegates that fell
/// silent with those hosts made their last digest earlier. In milliseconds.
const MERGE_WINDOW_MS: u64 = 2000;

/// The newest digest of one delegate.
#[derive(Clone, Debug)]
pub(crate) struct KnownDigest {
    pub(crate) digest: Digest,
    /// When the delegate made it, by the own clock.
    pub(crate) made_ms: u64,
}

impl KnownDigest {
    pub(crate) fn checksum(&self) -> u32 {
        self.digest.0.4
    }

    fn order(digest: &Digest) -> (u64, u64) {
        (digest.0.1, digest.0.2)
    }
}

/// A digest that a host of the own data centre relayed.
#[derive(Clone, Copy, Debug)]
struct Spread {
    made_ms: u64,
    checksum: u32,
}

/// Why a digest is to be relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayCause {
    /// It refers to a roster that was not told yet.
    NewRoster,
    /// Its delegate told another roster before.
    Changed,
    /// The interval has passed.
    Due,
}

/// One other data centre.
#[derive(Debug, Default)]
pub(crate) struct RemoteCentre {
    digests: BTreeMap<Name, KnownDigest>,
    rosters: BTreeMap<u32, (u64, Roster)>,
    last_seen: BTreeMap<Name, (HostRecord, u64)>,
    /// Digests that the own data centre was told, by delegate.
    spread: BTreeMap<Name, Spread>,
}

impl RemoteCentre {
    /// Takes a digest made at `made_ms`; false if a newer one of the delegate is known.
    pub(crate) fn take_digest(&mut self, made_ms: u64, digest: Digest) -> bool {
        let delegate = digest.0.0.clone();
        let known = self.digests.get(&delegate);
        let order = KnownDigest::order(&digest);
        if known.is_some_and(|known| order <= KnownDigest::order(&known.digest)) {
            return false;
        }
        self.digests.insert(delegate, KnownDigest { digest, made_ms });
        true
    }

    /// Keeps a roster under its checksum.
    pub(crate) fn take_roster(&mut self, now_ms: u64, roster: Roster) {
        self.rosters.insert(roster::checksum(&roster), (now_ms, roster));
        while self.rosters.len() > MAX_ROSTERS {
            let oldest = self.rosters.iter().min_by_key(|(_, (taken_ms, _))| *taken_ms);
            let Some((&checksum, _)) = oldest else { return };
            self.rosters.remove(&checksum);
        }
    }

    /// Whether and why a digest is to be relayed, unchanged ones every `gap_ms`.
    pub(crate) fn relay_cause(
        &self,
        made_ms: u64,
        digest: &Digest,
        gap_ms: u64,
    ) -> Option<RelayCause> {
        let checksum = digest.0.4;
        let last = self.spread.get(&digest.0.0);
        if last.is_some_and(|last| last.made_ms >= made_ms) || self.roster(checksum).is_none() {
            return None;
        }
        let same = self.spread.values().filter(|spread| spread.checksum == checksum);
        let Some(same_ms) = same.map(|spread| spread.made_ms).max() else {
            return Some(RelayCause::NewRoster);
        };
        if last.is_some_and(|last| last.checksum != checksum) {
            return Some(RelayCause::Changed);
        }
        (made_ms >= same_ms + gap_ms).then_some(RelayCause::Due)
    }

    /// Notes that a digest was told to the own data centre.
    pub(crate) fn note_spread(&mut self, made_ms: u64, digest: &Digest) {
        let told = Spread { made_ms, checksum: digest.0.4 };
        let known = self.spread.entry(digest.0.0.clone()).or_insert(told);
        if made_ms >= known.made_ms {
            *known = told;
        }
    }

    /// The rosters that were told to the own data centre.
    pub(crate) fn spread_rosters(&self) -> Vec<Roster> {
        let checksums: BTreeSet<u32> = self.spread.values().map(|spread| spread.checksum).collect();
        checksums.into_iter().filter_map(|checksum| self.roster(checksum).cloned()).collect()
    }

    /// Forgets what was told longer than `limit_ms` ago.
    pub(crate) fn prune(&mut self, now_ms: u64, limit_ms: u64) {
        self.spread.retain(|_, spread| now_ms.saturating_sub(spread.made_ms) <= limit_ms);
    }

    pub(crate) fn roster(&self, checksum: u32) -> Option<&Roster> {
        self.rosters.get(&checksum).map(|(_, roster)| roster)
    }

    /// The newest digest with a known roster that is no older than `limit_ms`.
    pub(crate) fn current(&self, now_ms: u64, limit_ms: u64) -> Option<(&KnownDigest, &Roster)> {
        let fresh = self.digests.values().filter_map(|known| {
            let fresh = now_ms.saturating_sub(known.made_ms) <= limit_ms;
            Some((known, self.roster(known.checksum())?)).filter(|_| fresh)
        });
        let fresh: Vec<_> = fresh.collect();
        let newest_ms = fresh.iter().map(|(known, _)| known.made_ms).max()?;
        let recent = |known: &KnownDigest| known.made_ms + MERGE_WINDOW_MS > newest_ms;
        let sizes = fresh.iter().filter(|(known, _)| recent(known));
        let largest = sizes.map(|(_, roster)| roster.hosts.len()).max()?;
        let counting = fresh.into_iter().filter(|(_, roster)| roster.hosts.len() * 2 >= largest);
        counting.max_by_key(|(known, _)| known.made_ms)
    }

    /// Moves what the current digest says to the hosts last seen.
    pub(crate) fn refresh(&mut self, now_ms: u64, limit_ms: u64) {
        let Some((known, roster)) = self.current(now_ms, limit_ms) else { return };
        let made_ms = known.made_ms;
        let hosts = roster::with_revisions(roster, &known.digest.0.5);
        for record in hosts {
            self.last_seen.insert(record.host.clone(), (record, made_ms));
        }
    }

    /// The hosts seen so far, as the view shows them.
    pub(crate) fn host_views(&self, now_ms: u64, limit_ms: u64) -> Vec<HostView> {
        let current = self.current(now_ms, limit_ms);
        let listed: BTreeSet<&Name> = current
            .map(|(_, roster)| roster.hosts.iter().map(|record| &record.host).collect())
            .unwrap_or_default();
        let view = |(record, seen_ms): &(HostRecord, u64)| HostView {
            record: record.clone(),
            heard_age_ms: now_ms.saturating_sub(*seen_ms),
            alive: listed.contains(&record.host),
        };
        self.last_seen.values().map(view).collect()
    }

    /// Names of the hosts alive.
    pub(crate) fn alive(&self, now_ms: u64, limit_ms: u64) -> Vec<&Name> {
        let current = self.current(now_ms, limit_ms);
        let hosts = current.map(|(_, roster)| &roster.hosts[..]).unwrap_or_default();
        hosts.iter().map(|record| &record.host).collect()
    }

    /// The summary that the current digest stands for, with its age.
    pub(crate) fn summary(&self, now_ms: u64, limit_ms: u64) -> Option<(DataCentreSummary, u64)> {
        let (known, roster) = self.current(now_ms, limit_ms)?;
        let (delegate, incarnation, sequence, _, _, revisions, numbers) = &known.digest.0;
        let services = roster.services.iter().zip(numbers.chunks(roster::NUMBERS_PER_SERVICE));
        let services = services.map(|(name, numbers)| roster::read_service(name, numbers));
        let summary = DataCentreSummary {
            data_centre: roster.data_centre.clone(),
            region: roster.hosts.first().map(|host| host.region.clone()).unwrap_or_default(),
            incarnation: *incarnation,
            sequence: *sequence,
            delegate: delegate.clone(),
            hosts: roster::with_revisions(roster, revisions),
            services: services.collect::<Vec<ServiceSummary>>(),
        };
        Some((summary, now_ms.saturating_sub(known.made_ms)))
    }
}
