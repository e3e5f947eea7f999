//! Defers long prompts that have time while the other requests of a service are rejected.
//!
//! A deferred prompt is rejected with a `Retry-After`. A long prompt takes as much of a worker as
//! many short ones. Where its route allows it much more time than the others have, it is the first
//! to be rejected in an overload, whatever its priority: its caller can retry and still be answered
//! in time. A part of these prompts is admitted, so that they are not starved.

/// Multiple of the shortest target latency from which a route counts as one with time to spare.
const MIN_SLACK_FACTOR: u64 = 2;
/// Time for which prompts are deferred after a request without time to spare was rejected, in
/// milliseconds.
const DEFERRAL_MS: u64 = 1_000;
/// Part of the prompts with time to spare that is not deferred.
const ADMITTED_PART: f64 = 0.25;

/// Whether a route has time to spare beside the shortest target latency of the routes to its
/// service that are at least as urgent.
pub fn has_slack(target_ms: u64, shortest_target_ms: u64) -> bool {
    target_ms > 0 && target_ms >= shortest_target_ms.saturating_mul(MIN_SLACK_FACTOR)
}

/// Whether the prompts of a service that have time to spare are deferred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deferral {
    rejected_ms: Option<u64>,
}

impl Deferral {
    /// Records that a request without time to spare was rejected for the load.
    pub fn record_rejection(&mut self, now_ms: u64) {
        self.rejected_ms = Some(now_ms);
    }

    /// Whether a prompt with time to spare is deferred; `draw` lies between 0 and 1.
    pub fn defers(&self, now_ms: u64, draw: f64) -> bool {
        let is_recent = |rejected_ms| now_ms < rejected_ms + DEFERRAL_MS;
        draw >= ADMITTED_PART && self.rejected_ms.is_some_and(is_recent)
    }
}
