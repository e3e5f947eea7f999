//! Hedging: when an idempotent read is also sent to a second upstream.
//!
//! Only requests of a profile that enables hedging are hedged, and each hedge
//! spends from the retry budget. [`HedgeTimer`] computes the delay from recent
//! latencies.

use anvillift_schema::configuration::Profile;

use crate::request::RequestFacts;

/// Latencies kept, the oldest being overwritten.
const MAX_SAMPLES: usize = 128;

/// Latencies needed before a hedge is sent.
const MIN_SAMPLES: usize = 20;

/// Percentile of the latencies after which the hedge is sent.
const PERCENTILE: usize = 95;

/// Recent latencies of a service, from which the hedge delay is computed.
#[derive(Clone, Debug, Default)]
pub struct HedgeTimer {
    latencies_ms: Vec<u64>,
    next_slot: usize,
}

impl HedgeTimer {
    /// Records the latency of a complete answer.
    pub fn record(&mut self, latency_ms: u64) {
        if self.latencies_ms.len() < MAX_SAMPLES {
            self.latencies_ms.push(latency_ms);
        } else {
            self.latencies_ms[self.next_slot] = latency_ms;
        }
        self.next_slot = (self.next_slot + 1) % MAX_SAMPLES;
    }

    /// Delay between the first attempt and the hedge, in milliseconds. It is `None`
    /// if the request is not to be hedged or too few latencies are recorded.
    pub fn delay_ms(&self, request: &RequestFacts, profile: &Profile) -> Option<u64> {
        let can_be_hedged = profile.hedge && request.idempotent && request.answer_tokens == 0;
        if !can_be_hedged || self.latencies_ms.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        Some(sorted[sorted.len() * PERCENTILE / 100])
    }
}
