//! A feature of requests that may crash workers.

use std::collections::BTreeSet;

use crate::feature_kind::FeatureKind;

/// Crashes after which a feature that was never served is quarantined.
const MIN_CRASHES: usize = 4;
/// Crashes after which a feature that was served before them is quarantined. Sound parts
/// of many prompts are in flight at most crashes.
const MIN_CRASHES_IF_SERVED: usize = 6;
/// Crashes fewer after which a request of one caller is quarantined: if it is sound, only
/// that request is refused in error.
const FEWER_CRASHES_OF_REQUEST: usize = 1;

/// A feature, with the crashes since it was last served.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    pub(crate) feature: u64,
    pub(crate) kind: FeatureKind,
    pub(crate) was_served: bool,
    /// Indices of the crashes.
    pub(crate) crashes: BTreeSet<usize>,
    /// Whether no quarantined request explains one of them.
    pub(crate) has_unexplained: bool,
}

impl Suspect {
    pub(crate) fn new(feature: u64, kind: FeatureKind, was_served: bool) -> Self {
        let crashes = BTreeSet::new();
        Self { feature, kind, was_served, crashes, has_unexplained: false }
    }

    pub(crate) fn add_unexplained(&mut self, crash: usize) {
        self.crashes.insert(crash);
        self.has_unexplained = true;
    }

    pub(crate) fn add_explained(&mut self, crash: usize) {
        self.crashes.insert(crash);
    }

    pub(crate) fn has_enough_crashes(&self) -> bool {
        let needed = if self.was_served { MIN_CRASHES_IF_SERVED } else { MIN_CRASHES };
        let is_request = self.kind == FeatureKind::Request;
        self.crashes.len() + usize::from(is_request) * FEWER_CRASHES_OF_REQUEST >= needed
    }
}
