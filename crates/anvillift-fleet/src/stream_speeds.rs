//! Speed of the streams of each worker, as one host has seen it since its last report.
//!
//! The time between two events of a stream shows how fast a worker generates tokens. It
//! hardly depends on the request, unlike the time to the first event, so the streams of
//! different requests can be added up. It includes waits for a caller that reads slowly.

use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetStreamSpeed;
use anvillift_schema::name::Name;

/// Events of the streams of a worker and the time that they took.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTime {
    events: u64,
    elapsed_ms: u64,
}

/// Sums of the streams that ended since the last report, by worker.
#[derive(Clone, Debug, Default)]
pub struct StreamSpeeds {
    by_worker: BTreeMap<Name, StreamTime>,
}

impl StreamSpeeds {
    /// Adds a stream of which `events` events arrived within `elapsed_ms` after its first
    /// one.
    pub fn record(&mut self, worker: &Name, events: u64, elapsed_ms: u64) {
        if events == 0 {
            return;
        }
        let sum = self.by_worker.entry(worker.clone()).or_default();
        sum.events += events;
        sum.elapsed_ms += elapsed_ms;
    }

    /// Returns the sums for the next report and starts new ones.
    pub fn take_report(&mut self) -> Vec<FleetStreamSpeed> {
        let report = |(worker, sum): (Name, StreamTime)| FleetStreamSpeed {
            worker,
            events: sum.events,
            elapsed_ms: sum.elapsed_ms,
        };
        std::mem::take(&mut self.by_worker).into_iter().map(report).collect()
    }
}
