//! When an idempotent read is asked a second time elsewhere.
//!
//! Only a profile that asks for hedging gets it, and each hedge spends from
//! the retry budget. Start at [`HedgeTimer`].

use anvillift_schema::configuration::Profile;

use crate::request::RequestFacts;

/// Answers kept to know the usual latency.
const SAMPLES: usize = 128;

/// Least answers before a hedge is sent.
const MIN_SAMPLES: usize = 20;

/// Share of answers that are expected before the hedge, in hundredths.
const PERCENTILE: usize = 95;

/// Knows how long answers of a service usually take.
#[derive(Clone, Debug, Default)]
pub struct HedgeTimer {
    latencies_ms: Vec<u64>,
    next: usize,
}

impl HedgeTimer {
    /// Records the latency of a whole answer.
    pub fn record(&mut self, latency_ms: u64) {
        if self.latencies_ms.len() < SAMPLES {
            self.latencies_ms.push(latency_ms);
        } else {
            self.latencies_ms[self.next] = latency_ms;
        }
        self.next = (self.next + 1) % SAMPLES;
    }

    /// When to send a hedge after the first attempt, in milliseconds; none if not at all.
    pub fn delay_ms(&self, request: &RequestFacts, profile: &Profile) -> Option<u64> {
        let wanted = profile.hedge && request.idempotent && request.answer_tokens == 0;
        if !wanted || self.latencies_ms.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        Some(sorted[sorted.len() * PERCENTILE / 100])
    }
}
