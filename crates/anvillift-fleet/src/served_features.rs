//! The features of the requests that this host has served.
//!
//! A complete answer shows that none of the features crashes workers. Memory is bounded by
//! two generations: when the newer one is full it becomes the older one, and what was
//! there is forgotten. Fingerprints, which most requests have to themselves, have
//! generations of their own, so that they don't displace the parts of prompts.

use std::collections::BTreeMap;

use crate::request_features::RequestFeatures;

/// Most features in each of the two generations.
const MAX_FEATURES: usize = 4_096;

/// The times at which requests with each feature were last served.
#[derive(Clone, Debug, Default)]
pub struct ServedFeatures {
    parts: Generations,
    fingerprints: Generations,
}

#[derive(Clone, Debug, Default)]
struct Generations {
    newer_ms: BTreeMap<u64, u64>,
    older_ms: BTreeMap<u64, u64>,
}

impl ServedFeatures {
    /// Records a complete answer to a request.
    pub fn record(&mut self, now_ms: u64, features: &RequestFeatures) {
        self.parts.record(now_ms, features.parts.iter().copied());
        let whole = features.fingerprint.iter();
        let whole = whole.flat_map(|fingerprint| [fingerprint.content, fingerprint.of_caller]);
        self.fingerprints.record(now_ms, whole);
    }

    /// Time at which a request with the feature was last served; `None` if it never was, or
    /// so long ago that it is forgotten.
    pub fn last_served_ms(&self, feature: u64) -> Option<u64> {
        self.parts.get(feature).or_else(|| self.fingerprints.get(feature))
    }

    /// Whether no request was served.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.fingerprints.is_empty()
    }
}

impl Generations {
    fn record(&mut self, now_ms: u64, features: impl Iterator<Item = u64>) {
        for feature in features {
            self.newer_ms.insert(feature, now_ms);
        }
        if self.newer_ms.len() >= MAX_FEATURES {
            self.older_ms = std::mem::take(&mut self.newer_ms);
        }
    }

    fn get(&self, feature: u64) -> Option<u64> {
        self.newer_ms.get(&feature).or_else(|| self.older_ms.get(&feature)).copied()
    }

    fn is_empty(&self) -> bool {
        self.newer_ms.is_empty() && self.older_ms.is_empty()
    }
}
