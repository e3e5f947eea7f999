//! When workers of each software version were last seen, by service.
//!
//! A stream may have been begun by a worker that is gone. A service whose workers
//! have had one version for longer than any stream lasts can only have streams of
//! that version.

use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetWorker;
use anvillift_schema::name::Name;

/// Time for which a version that is no longer seen is remembered, in milliseconds.
const REMEMBER_MS: u64 = 3_600_000;

/// Times at which workers of each version were last seen; `None` is an unknown version.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionHistory {
    services: BTreeMap<Name, BTreeMap<Option<Name>, u64>>,
}

impl VersionHistory {
    /// Records that a worker may have served until now.
    pub(crate) fn record(&mut self, now_ms: u64, worker: &FleetWorker) {
        let versions = self.services.entry(worker.service.clone()).or_default();
        versions.insert(worker.version.clone(), now_ms);
    }

    /// The versions of a service of which a worker was seen since `since_ms`.
    pub(crate) fn seen_since(
        &self,
        service: &str,
        since_ms: u64,
    ) -> impl Iterator<Item = Option<&Name>> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |(_, last_ms)| **last_ms >= since_ms)
            .map(|(version, _)| version.as_ref())
    }

    /// Removes versions that have not been seen for an hour.
    pub(crate) fn remove_old(&mut self, now_ms: u64) {
        for versions in self.services.values_mut() {
            versions.retain(|_, last_ms| *last_ms + REMEMBER_MS >= now_ms);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
