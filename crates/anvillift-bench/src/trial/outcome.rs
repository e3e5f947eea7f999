//! What a run measured.

use std::time::Duration;

use anvillift_schema::name::Name;

use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::{ClassTally, Ending, Tally};

/// Sums over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTotals {
    /// Attempts received.
    pub attempts: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
}

impl EngineTotals {
    /// What was added since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            attempts: self.attempts.saturating_sub(before.attempts),
            computed_tokens: self.computed_tokens.saturating_sub(before.computed_tokens),
            cached_tokens: self.cached_tokens.saturating_sub(before.cached_tokens),
        }
    }
}

/// One answer, for measures over time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Planned time since the start of the load.
    pub at: Duration,
    /// Region it came from.
    pub region: Name,
    /// Class.
    pub class: Name,
    /// How it ended.
    pub ending: Ending,
    /// To the first token.
    pub first_us: u64,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Answers by class.
    pub tally: Tally,
    /// What engines did.
    pub totals: EngineTotals,
    /// Every answer.
    pub samples: Vec<Sample>,
    /// Measured load.
    pub duration_s: u64,
}

impl Outcome {
    /// All classes of a kind together.
    pub fn of_kind(&self, experiment: &Experiment, kind: ClassKind) -> ClassTally {
        let mut sum = ClassTally::default();
        for class in experiment.classes.iter().filter(|class| class.kind == kind) {
            sum.merge(&self.tally.class(&class.name));
        }
        sum
    }

    /// All classes that engines answer.
    pub fn of_models(&self, experiment: &Experiment) -> ClassTally {
        let mut sum = self.of_kind(experiment, ClassKind::Dossier);
        sum.merge(&self.of_kind(experiment, ClassKind::Question));
        sum
    }

    /// Answers within the objective, a second, of model services.
    pub fn goodput_per_s(&self, experiment: &Experiment) -> f64 {
        self.of_models(experiment).good as f64 / self.duration_s.max(1) as f64
    }

    /// Prompt tokens computed for each whole answer of model services.
    pub fn computed_per_answer(&self, experiment: &Experiment) -> f64 {
        let models = self.of_models(experiment);
        let answers = (models.whole + models.unfinished).max(1);
        self.totals.computed_tokens as f64 / answers as f64
    }

    /// Share of all answers that came from another region.
    pub fn away_share(&self) -> f64 {
        let total = self.tally.total();
        total.away as f64 / (total.whole + total.unfinished).max(1) as f64
    }
}
