//! Figures by which policies are compared, and their spread over several seeds.

use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::ClassTally;
use crate::trial::outcome::Outcome;

/// Figure computed from the outcome of a run.
pub struct Measure {
    /// Name in tables and JSON reports.
    pub name: &'static str,
    /// Unit of the value; empty for counts.
    pub unit: &'static str,
    /// Function that computes the value.
    pub compute: fn(&Outcome, &Experiment) -> f64,
}

/// Time to the first token of questions, 95th percentile.
pub const QUESTION_FIRST_P95: Measure = Measure {
    name: "question, first token, p95",
    unit: "ms",
    compute: |outcome, experiment| questions(outcome, experiment).first_token.percentile_ms(95.0),
};

/// Time to the first token of questions, 99th percentile.
pub const QUESTION_FIRST_P99: Measure = Measure {
    name: "question, first token, p99",
    unit: "ms",
    compute: |outcome, experiment| questions(outcome, experiment).first_token.percentile_ms(99.0),
};

/// Time between tokens of questions, 95th percentile.
pub const QUESTION_GAP_P95: Measure = Measure {
    name: "question, between tokens, p95",
    unit: "ms",
    compute: |outcome, experiment| questions(outcome, experiment).token_gaps.percentile_ms(95.0),
};

/// Share of answers handled by a host of another region.
pub const AWAY: Measure = Measure {
    name: "answered by another region",
    unit: "%",
    compute: |outcome, _| outcome.away_share() * 100.0,
};

/// Prompt tokens prefilled for each answer of engines.
pub const COMPUTED_PER_ANSWER: Measure = Measure {
    name: "prompt tokens computed an answer",
    unit: "",
    compute: |outcome, experiment| outcome.computed_per_answer(experiment),
};

/// Answers of engines within the first-token target, per second.
pub const GOODPUT: Measure = Measure {
    name: "goodput of engines",
    unit: "1/s",
    compute: |outcome, experiment| outcome.goodput_per_s(experiment),
};

/// Rows of the comparison table, in order.
pub const ALL: [Measure; 14] = [
    QUESTION_FIRST_P95,
    QUESTION_FIRST_P99,
    QUESTION_GAP_P95,
    Measure {
        name: "dossier, first token, p95",
        unit: "ms",
        compute: |outcome, experiment| {
            outcome.tally_of_kind(experiment, ClassKind::Dossier).first_token.percentile_ms(95.0)
        },
    },
    Measure {
        name: "command, p99",
        unit: "ms",
        compute: |outcome, experiment| {
            outcome.tally_of_kind(experiment, ClassKind::Command).first_token.percentile_ms(99.0)
        },
    },
    Measure {
        name: "reading, p99",
        unit: "ms",
        compute: |outcome, experiment| {
            outcome.tally_of_kind(experiment, ClassKind::Reading).first_token.percentile_ms(99.0)
        },
    },
    AWAY,
    COMPUTED_PER_ANSWER,
    GOODPUT,
    Measure {
        name: "refused",
        unit: "%",
        compute: |outcome, _| {
            let total = outcome.tally.total();
            percentage(total.refused, total.sent)
        },
    },
    Measure {
        name: "failed",
        unit: "%",
        compute: |outcome, _| {
            let total = outcome.tally.total();
            percentage(total.failed, total.sent)
        },
    },
    Measure {
        name: "unfinished at the end",
        unit: "%",
        compute: |outcome, _| {
            let total = outcome.tally.total();
            percentage(total.unfinished, total.sent)
        },
    },
    Measure {
        name: "refusal answered, p99",
        unit: "ms",
        compute: |outcome, _| outcome.tally.total().refusals.percentile_ms(99.0),
    },
    Measure { name: "requests", unit: "", compute: |outcome, _| outcome.tally.total().sent as f64 },
];

/// Sum of the tallies of all question classes of a run.
pub fn questions(outcome: &Outcome, experiment: &Experiment) -> ClassTally {
    outcome.tally_of_kind(experiment, ClassKind::Question)
}

fn percentage(part: u64, total: u64) -> f64 {
    part as f64 * 100.0 / total.max(1) as f64
}

/// Median and range of a figure over several seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median; the upper of the two middle values when their number is even.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Computes the spread; `None` when there are no values.
    pub fn from_values(mut values: Vec<f64>) -> Option<Self> {
        values.sort_by(f64::total_cmp);
        let (min, max) = (*values.first()?, *values.last()?);
        Some(Self { median: values[values.len() / 2], min, max })
    }
}
