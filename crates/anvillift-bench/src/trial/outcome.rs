//! Measurements of a run, and the figures derived from them.

use std::time::Duration;

use anvillift_schema::name::Name;

use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::{AnswerStatus, ClassTally, Tally};

/// Counters summed over all engines of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTotals {
    /// Number of requests that engines received, including retries.
    pub attempts: u64,
    /// Prompt tokens prefilled.
    pub computed_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
}

impl EngineTotals {
    /// Difference from the earlier counters `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            attempts: self.attempts.saturating_sub(before.attempts),
            computed_tokens: self.computed_tokens.saturating_sub(before.computed_tokens),
            cached_tokens: self.cached_tokens.saturating_sub(before.cached_tokens),
        }
    }
}

/// Answer to one request, for figures over time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Planned send time, from the start of the load.
    pub at: Duration,
    /// Region in which the request arrived.
    pub region: Name,
    /// Class of the request.
    pub class: Name,
    /// Status of the request.
    pub status: AnswerStatus,
    /// Time from the planned send time to the first token.
    pub first_token_us: u64,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Counts and latencies by class, after the warm-up.
    pub tally: Tally,
    /// Counters of all engines, including those that crashed.
    pub totals: EngineTotals,
    /// One sample for each answer after the warm-up.
    pub samples: Vec<Sample>,
    /// Duration of the measured load, in seconds.
    pub duration_s: u64,
}

impl Outcome {
    /// Sum of the tallies of all classes of a kind.
    pub fn tally_of_kind(&self, experiment: &Experiment, kind: ClassKind) -> ClassTally {
        let mut sum = ClassTally::default();
        for class in experiment.classes.iter().filter(|class| class.kind == kind) {
            sum.merge(&self.tally.class(&class.name));
        }
        sum
    }

    /// Sum of the tallies of all classes that engines answer.
    pub fn tally_of_models(&self, experiment: &Experiment) -> ClassTally {
        let mut sum = self.tally_of_kind(experiment, ClassKind::Dossier);
        sum.merge(&self.tally_of_kind(experiment, ClassKind::Question));
        sum
    }

    /// Answers of engines within the first-token target, per second.
    pub fn goodput_per_s(&self, experiment: &Experiment) -> f64 {
        self.tally_of_models(experiment).within_target as f64 / self.duration_s.max(1) as f64
    }

    /// Prompt tokens prefilled for each complete or unfinished answer of engines.
    pub fn computed_per_answer(&self, experiment: &Experiment) -> f64 {
        let models = self.tally_of_models(experiment);
        let answers = (models.complete + models.unfinished).max(1);
        self.totals.computed_tokens as f64 / answers as f64
    }

    /// Answers handled by a host of another region, relative to the complete and
    /// unfinished answers.
    pub fn away_share(&self) -> f64 {
        let total = self.tally.total();
        total.away as f64 / (total.complete + total.unfinished).max(1) as f64
    }
}
