//! Features of requests that crash workers.
//!
//! A request that has all features of an entry is refused, whatever else it holds. An
//! entry has several features where the crashes could not tell them apart. Entries end by
//! themselves, since a request may stop to crash workers, for example with their next
//! software version.

use std::collections::{BTreeMap, BTreeSet};

use crate::request_features::RequestFeatures;

/// Longest time for which features are quarantined, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Most entries; the one that ends first is dropped first.
const MAX_ENTRIES: usize = 256;

/// The quarantined features.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Time at which each entry ends, by its features.
    until_ms: BTreeMap<BTreeSet<u64>, u64>,
}

impl Quarantine {
    /// Quarantines features for a time. Returns whether they were not quarantined before.
    pub fn add(&mut self, now_ms: u64, features: BTreeSet<u64>, remaining_ms: u64) -> bool {
        if features.is_empty() || remaining_ms == 0 {
            return false;
        }
        let previous_ms = self.until_ms.get(&features).copied().unwrap_or_default();
        let until_ms = now_ms + remaining_ms.min(QUARANTINE_MS);
        self.until_ms.insert(features, until_ms.max(previous_ms));
        if self.until_ms.len() > MAX_ENTRIES {
            self.remove_first_to_end();
        }
        previous_ms <= now_ms
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
        self.until_ms
            .iter()
            .map(move |(features, until_ms)| (features, until_ms.saturating_sub(now_ms)))
    }

    /// Removes the entries that have ended.
    pub fn remove_ended(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// The entries all of whose features a request has, with the time at which they end.
    fn entries_of<'a>(
        &'a self,
        features: &'a RequestFeatures,
    ) -> impl Iterator<Item = (&'a BTreeSet<u64>, u64)> {
        let matching = self.until_ms.iter().filter(|(entry, _)| features.contains_all(entry));
        matching.map(|(entry, until_ms)| (entry, *until_ms))
    }

    fn remove_first_to_end(&mut self) {
        let first = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(features) = first.map(|(features, _)| features.clone()) {
            self.until_ms.remove(&features);
        }
    }
}
