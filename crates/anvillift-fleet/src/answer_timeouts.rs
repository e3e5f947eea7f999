//! Timeouts for an answer, after which another worker is tried.
//!
//! A worker may run a request and lose its answer. If the request may run again,
//! waiting until its deadline is of no use, while a retry that is sent too early
//! doubles the work of a worker that is only slow. The timeout therefore follows
//! the recent latency of the route, and never falls below a multiple of its target
//! latency.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// The timeout is at least this multiple of the target latency.
const TARGET_LATENCY_MULTIPLE: f64 = 1.5;
/// The timeout is at least this multiple of the recent latency.
const RECENT_LATENCY_MULTIPLE: f64 = 3.0;
/// Weight of the newest answer in the moving average of the latency.
const NEWEST_WEIGHT: f64 = 0.1;
/// Shortest timeout, in milliseconds.
const MIN_WAIT_MS: f64 = 500.0;

/// Moving average of the time to the first byte of answers, by route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimeouts {
    averages_ms: BTreeMap<Name, f64>,
}

impl AnswerTimeouts {
    /// Records the time until an answer began.
    pub fn record(&mut self, route: &Name, first_ms: u64) {
        let average_ms = self.averages_ms.entry(route.clone()).or_insert(first_ms as f64);
        *average_ms += (first_ms as f64 - *average_ms) * NEWEST_WEIGHT;
    }

    /// Drops the averages of routes for which `is_configured` is false.
    pub fn retain(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.averages_ms.retain(|route, _| is_configured(route));
    }

    /// Timeout for an answer of a route with this target latency, in milliseconds.
    pub fn timeout_ms(&self, route: &str, target_ms: u64) -> u64 {
        let recent_ms = self.averages_ms.get(route).copied().unwrap_or(0.0);
        let min_ms = target_ms as f64 * TARGET_LATENCY_MULTIPLE;
        (recent_ms * RECENT_LATENCY_MULTIPLE).max(min_ms).max(MIN_WAIT_MS) as u64
    }
}
