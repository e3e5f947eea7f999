//! How long an answer is waited for before another worker is asked.
//!
//! A worker may run a request and lose its answer. Where the request may run
//! again, waiting to the end helps nobody, and asking too early doubles work
//! that is only slow. So the wait follows what the route's answers take at the
//! moment, and is never shorter than a multiple of what is still of full use.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Multiple of the useful latency that is always waited.
const USEFUL_LATENCIES: f64 = 1.5;
/// Multiple of the present latency that is always waited.
const PRESENT_LATENCIES: f64 = 3.0;
/// Weight of the newest answer in the present latency.
const NEWEST_WEIGHT: f64 = 0.1;
/// Shortest wait, in milliseconds.
const MIN_WAIT_MS: f64 = 500.0;

/// What the answers of each route take at the moment.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    first_ms: BTreeMap<Name, f64>,
}

impl Patience {
    /// Notes how long an answer took to begin.
    pub fn observe(&mut self, route: &Name, first_ms: u64) {
        let present_ms = self.first_ms.entry(route.clone()).or_insert(first_ms as f64);
        *present_ms += (first_ms as f64 - *present_ms) * NEWEST_WEIGHT;
    }

    /// Forgets routes that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&Name) -> bool) {
        self.first_ms.retain(|route, _| is_there(route));
    }

    /// What an answer of a route takes at the moment, in milliseconds.
    pub fn present_ms(&self, route: &str) -> Option<f64> {
        self.first_ms.get(route).copied()
    }

    /// How long an answer of a route is waited for, in milliseconds.
    pub fn wait_ms(&self, route: &str, useful_ms: u64) -> u64 {
        let present_ms = self.present_ms(route).unwrap_or(0.0);
        let useful_ms = useful_ms as f64 * USEFUL_LATENCIES;
        (present_ms * PRESENT_LATENCIES).max(useful_ms).max(MIN_WAIT_MS) as u64
    }
}
