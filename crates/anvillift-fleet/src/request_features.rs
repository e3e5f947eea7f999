//! The features of a request by which those that crash workers can be told from others.

use std::collections::BTreeSet;

use crate::feature_kind::FeatureKind;
use crate::fingerprint::Fingerprint;
use crate::prompt::Prompt;

/// Most parts of a prompt that count, the first ones.
const MAX_PARTS: usize = 256;

/// What a request may have in common with others: parts of its prompt, or everything.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestFeatures {
    /// Ids of the shared parts of its prompt.
    pub parts: BTreeSet<u64>,
    /// Its fingerprints; `None` if a host of an older release reports only parts.
    pub fingerprint: Option<Fingerprint>,
}

impl RequestFeatures {
    /// The features of a request.
    pub fn new(prompt: &Prompt, fingerprint: Fingerprint) -> Self {
        Self {
            parts: prompt.shared_parts.iter().take(MAX_PARTS).map(|part| part.id).collect(),
            fingerprint: Some(fingerprint),
        }
    }

    /// All features.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.kinds().map(|(feature, _)| feature)
    }

    /// All features with their kinds.
    pub fn kinds(&self) -> impl Iterator<Item = (u64, FeatureKind)> + '_ {
        let parts = self.parts.iter().map(|part| (*part, FeatureKind::Part));
        let whole = self.fingerprint.iter().flat_map(|fingerprint| {
            [
                (fingerprint.content, FeatureKind::Content),
                (fingerprint.of_caller, FeatureKind::Request),
            ]
        });
        parts.chain(whole)
    }

    /// Whether the request has a feature.
    pub fn contains(&self, feature: u64) -> bool {
        let is_whole = |fingerprint: Fingerprint| {
            fingerprint.content == feature || fingerprint.of_caller == feature
        };
        self.parts.contains(&feature) || self.fingerprint.is_some_and(is_whole)
    }

    /// Whether the request has all of some features.
    pub fn contains_all(&self, features: &BTreeSet<u64>) -> bool {
        features.iter().all(|feature| self.contains(*feature))
    }
}
