//! Features of requests that crash workers.
//!
//! A request that has all features of an entry is refused, whatever else it holds. An
//! entry has several features where the crashes could not tell them apart. Entries end by
//! themselves, since a request may stop to crash workers, for example with their next
//! software version. An entry is released earlier if a request that it refuses is served in a
//! trial. Each set of features has the number of its releases; an entry that was found before
//! the last one is ignored, whichever host tells it.

use std::collections::{BTreeMap, BTreeSet};

use crate::request_features::RequestFeatures;

/// Longest time for which features are quarantined, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Most entries; the one that ends first is dropped first.
const MAX_ENTRIES: usize = 256;

/// An entry of the quarantine, as hosts tell it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// Requests that have all of them are refused.
    pub features: BTreeSet<u64>,
    /// Time until the entry ends, in milliseconds.
    pub remaining_ms: u64,
    /// Number of releases of these features before they were found.
    pub finding: u64,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    until_ms: u64,
    finding: u64,
}

/// The quarantined features.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<BTreeSet<u64>, Term>,
    /// Number of releases of each set of features.
    releases: BTreeMap<BTreeSet<u64>, u64>,
}

impl Quarantine {
    /// Quarantines features that this host has found, for a time. Returns whether they were not
    /// quarantined before.
    pub fn add(&mut self, now_ms: u64, features: BTreeSet<u64>, remaining_ms: u64) -> bool {
        let finding = self.release_count(&features);
        self.merge(now_ms, QuarantineEntry { features, remaining_ms, finding })
    }

    /// Adds an entry of another host, unless it was released since. Returns whether its features
    /// were not quarantined before.
    pub fn merge(&mut self, now_ms: u64, entry: QuarantineEntry) -> bool {
        let QuarantineEntry { features, remaining_ms, finding } = entry;
        if features.is_empty() || remaining_ms == 0 || finding < self.release_count(&features) {
            return false;
        }
        let previous = self.entries.get(&features).copied();
        let previous_ms = previous.map_or(0, |term| term.until_ms);
        let until_ms = (now_ms + remaining_ms.min(QUARANTINE_MS)).max(previous_ms);
        let finding = previous.map_or(finding, |term| term.finding.max(finding));
        self.entries.insert(features, Term { until_ms, finding });
        if self.entries.len() > MAX_ENTRIES {
            self.remove_first_to_end();
        }
        previous_ms <= now_ms
    }

    /// Number of releases of a set of features.
    pub fn release_count(&self, features: &BTreeSet<u64>) -> u64 {
        self.releases.get(features).copied().unwrap_or_default()
    }

    /// Replaces the numbers of releases, and removes the entries that were found before the last
    /// release of their features. Returns the features of these.
    pub fn set_releases(&mut self, releases: BTreeMap<BTreeSet<u64>, u64>) -> Vec<BTreeSet<u64>> {
        self.releases = releases;
        let releases = &self.releases;
        let is_released =
            |features: &BTreeSet<u64>, term: &Term| Some(&term.finding) < releases.get(features);
        let released = self.entries.extract_if(.., |features, term| is_released(features, term));
        released.map(|(features, _)| features).collect()
    }

    /// The features of the entry that refuses a request, or `None` if none does or several do.
    pub fn only_entry<'a>(
        &'a self,
        now_ms: u64,
        features: &'a RequestFeatures,
    ) -> Option<&'a BTreeSet<u64>> {
        let mut refusing = self.entries_of(features).filter(|(_, until_ms)| *until_ms > now_ms);
        let (only, _) = refusing.next()?;
        refusing.next().is_none().then_some(only)
    }

    /// Whether a set of features is quarantined.
    pub fn contains(&self, now_ms: u64, features: &BTreeSet<u64>) -> bool {
        self.entries.get(features).is_some_and(|term| term.until_ms > now_ms)
    }

    /// Remaining time of the quarantine of a request, in milliseconds; `None` if the request
    /// may be sent.
    pub fn remaining_ms(&self, now_ms: u64, features: &RequestFeatures) -> Option<u64> {
        let until_ms = self.entries_of(features).map(|(_, until_ms)| until_ms).max()?;
        until_ms.checked_sub(now_ms).filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Whether a request has all features of an entry, so that it explains a crash.
    pub fn explains(&self, features: &RequestFeatures) -> bool {
        self.entries_of(features).next().is_some()
    }

    /// The entries, each with its remaining time in milliseconds.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&BTreeSet<u64>, u64)> {
        self.entries
            .iter()
            .map(move |(features, term)| (features, term.until_ms.saturating_sub(now_ms)))
    }

    /// The entries, for another host.
    pub fn entries(&self, now_ms: u64) -> impl Iterator<Item = QuarantineEntry> + '_ {
        self.entries.iter().map(move |(features, term)| QuarantineEntry {
            features: features.clone(),
            remaining_ms: term.until_ms.saturating_sub(now_ms),
            finding: term.finding,
        })
    }

    /// Removes the entries that have ended.
    pub fn remove_ended(&mut self, now_ms: u64) {
        self.entries.retain(|_, term| term.until_ms > now_ms);
    }

    /// The entries all of whose features a request has, with the time at which they end.
    fn entries_of<'a>(
        &'a self,
        features: &'a RequestFeatures,
    ) -> impl Iterator<Item = (&'a BTreeSet<u64>, u64)> {
        let matching = self.entries.iter().filter(|(entry, _)| features.contains_all(entry));
        matching.map(|(entry, term)| (entry, term.until_ms))
    }

    fn remove_first_to_end(&mut self) {
        let first = self.entries.iter().min_by_key(|(_, term)| term.until_ms);
        if let Some(features) = first.map(|(features, _)| features.clone()) {
            self.entries.remove(&features);
        }
    }
}
