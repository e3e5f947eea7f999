//! How the parts of an estimate add up to a score.

use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;

use crate::estimate::Estimate;
use crate::load_view::DataCentreCapacity;
use crate::request::RequestFacts;

/// Score penalty for sending a request to another region, in milliseconds, when the
/// profile gives its away weight and its tail weight the same value.
const AWAY_COST_MS: f64 = 300.0;

/// Weight of the prefill time in the score. It accounts for the delay that a prefill
/// causes to the other requests at the upstream.
const PREFILL_WEIGHT: f64 = 4.0;

/// Number of answer tokens up to which gaps above the target add to the score.
const MAX_LATE_GAP_TOKENS: u64 = 64;

/// Weights of a profile, relative to its weight of tail latency.
pub(crate) struct Weights {
    pub(crate) cost: f64,
    pub(crate) away: f64,
    pub(crate) gap_target_ms: f64,
    pub(crate) late_gap_tokens: f64,
}

impl Weights {
    pub(crate) fn of(profile: &Profile, request: &RequestFacts) -> Self {
        let tail = f64::from(profile.weight_tail_milli.max(1));
        Self {
            cost: f64::from(profile.weight_cost_milli) / tail + PREFILL_WEIGHT,
            away: f64::from(profile.weight_away_milli) / tail,
            gap_target_ms: f64::from(profile.between_tokens_target_ms),
            late_gap_tokens: request.answer_tokens.min(MAX_LATE_GAP_TOKENS) as f64,
        }
    }

    /// Combines latency and prefill work into a score, in milliseconds of latency.
    pub(crate) fn score_ms(&self, estimate: &Estimate) -> f64 {
        let late_gap_ms = (estimate.gap_ms - self.gap_target_ms).max(0.0);
        estimate.first_token_ms
            + late_gap_ms * self.late_gap_tokens
            + self.cost * estimate.prefill_ms
    }

    pub(crate) fn away_cost_ms(&self, capacity: &DataCentreCapacity, own_region: &Name) -> f64 {
        if capacity.region == *own_region { 0.0 } else { AWAY_COST_MS * self.away }
    }
}
