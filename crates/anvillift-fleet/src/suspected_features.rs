//! Requests that may crash workers, though that isn't certain yet.
//!
//! A suspected request is not repeated at another worker by its host: each repeat might
//! crash one more. Its caller may send it again.

use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;
use crate::request_features::RequestFeatures;

/// Time for which a feature is suspected, in milliseconds.
const SUSPICION_MS: u64 = 60_000;
/// Most features; further ones are ignored.
const MAX_FEATURES: usize = 1_024;

/// Features that are suspected for [`SUSPICION_MS`], or until a request with them is served.
#[derive(Clone, Debug, Default)]
pub struct SuspectedFeatures {
    /// Time at which each suspicion ends, by feature.
    until_ms: BTreeMap<u64, u64>,
}

impl SuspectedFeatures {
    /// Records that features were in flight at several crashes.
    pub fn record(&mut self, now_ms: u64, features: &[u64]) {
        for feature in features {
            if self.until_ms.len() < MAX_FEATURES || self.until_ms.contains_key(feature) {
                self.until_ms.insert(*feature, now_ms + SUSPICION_MS);
            }
        }
    }

    /// Whether a request is suspected. What many sound requests may have in common with it
    /// doesn't count.
    pub fn contains(&self, now_ms: u64, features: &RequestFeatures) -> bool {
        let until_ms = |fingerprint: Fingerprint| self.until_ms.get(&fingerprint.of_caller);
        features.fingerprint.and_then(until_ms).is_some_and(|until_ms| *until_ms > now_ms)
    }

    /// Ends the suspicion of the features of a request that was served.
    pub fn clear(&mut self, features: &RequestFeatures) {
        if self.until_ms.is_empty() {
            return;
        }
        for feature in features.iter() {
            self.until_ms.remove(&feature);
        }
    }

    /// Removes the suspicions that have ended.
    pub fn remove_ended(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }
}
