//! What is compared.

use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::ClassTally;
use crate::trial::outcome::Outcome;

/// A figure of a run.
pub struct Measure {
    /// Name in tables.
    pub name: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// How it is worked out.
    pub of: fn(&Outcome, &Experiment) -> f64,
}

/// First token of questions, 95th percentile.
pub const QUESTION_FIRST_P95: Measure = Measure {
    name: "question, first token, p95",
    unit: "ms",
    of: |outcome, experiment| questions(outcome, experiment).first.percentile_ms(95.0),
};

/// First token of questions, 99th percentile.
pub const QUESTION_FIRST_P99: Measure = Measure {
    name: "question, first token, p99",
    unit: "ms",
    of: |outcome, experiment| questions(outcome, experiment).first.percentile_ms(99.0),
};

/// Gaps of questions, 95th percentile.
pub const QUESTION_GAP_P95: Measure = Measure {
    name: "question, between tokens, p95",
    unit: "ms",
    of: |outcome, experiment| questions(outcome, experiment).gaps.percentile_ms(95.0),
};

/// Share of answers from another region.
pub const AWAY: Measure = Measure {
    name: "answered by another region",
    unit: "%",
    of: |outcome, _| outcome.away_share() * 100.0,
};

/// Prompt tokens computed for each answer.
pub const COMPUTED: Measure = Measure {
    name: "prompt tokens computed an answer",
    unit: "",
    of: |outcome, experiment| outcome.computed_per_answer(experiment),
};

/// Answers of engines within the objective.
pub const GOODPUT: Measure = Measure {
    name: "goodput of engines",
    unit: "1/s",
    of: |outcome, experiment| outcome.goodput_per_s(experiment),
};

/// Everything in the table.
pub const ALL: [Measure; 14] = [
    QUESTION_FIRST_P95,
    QUESTION_FIRST_P99,
    QUESTION_GAP_P95,
    Measure {
        name: "dossier, first token, p95",
        unit: "ms",
        of: |outcome, experiment| {
            outcome.of_kind(experiment, ClassKind::Dossier).first.percentile_ms(95.0)
        },
    },
    Measure {
        name: "command, p99",
        unit: "ms",
        of: |outcome, experiment| {
            outcome.of_kind(experiment, ClassKind::Command).first.percentile_ms(99.0)
        },
    },
    Measure {
        name: "reading, p99",
        unit: "ms",
        of: |outcome, experiment| {
            outcome.of_kind(experiment, ClassKind::Reading).first.percentile_ms(99.0)
        },
    },
    AWAY,
    COMPUTED,
    GOODPUT,
    Measure {
        name: "refused",
        unit: "%",
        of: |outcome, _| {
            let total = outcome.tally.total();
            share(total.refused, total.sent)
        },
    },
    Measure {
        name: "failed",
        unit: "%",
        of: |outcome, _| {
            let total = outcome.tally.total();
            share(total.failed, total.sent)
        },
    },
    Measure {
        name: "unfinished at the end",
        unit: "%",
        of: |outcome, _| {
            let total = outcome.tally.total();
            share(total.unfinished, total.sent)
        },
    },
    Measure {
        name: "refusal answered, p99",
        unit: "ms",
        of: |outcome, _| outcome.tally.total().refusals.percentile_ms(99.0),
    },
    Measure { name: "requests", unit: "", of: |outcome, _| outcome.tally.total().sent as f64 },
];

/// All questions of a run.
pub fn questions(outcome: &Outcome, experiment: &Experiment) -> ClassTally {
    outcome.of_kind(experiment, ClassKind::Question)
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

/// A figure over several seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Middle value.
    pub median: f64,
    /// Least value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// The spread of at least one value.
    pub fn of(mut values: Vec<f64>) -> Option<Self> {
        values.sort_by(f64::total_cmp);
        let (min, max) = (*values.first()?, *values.last()?);
        Some(Self { median: values[values.len() / 2], min, max })
    }
}
