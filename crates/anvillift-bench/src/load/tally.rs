//! What was seen of the answers.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use hdrhistogram::Histogram;

const LARGEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1000.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A whole answer.
    Whole,
    /// Refused with a numbered code.
    Refused,
    /// Any other answer, or none.
    Failed,
    /// None or a part of it when the run ended.
    Unfinished,
}

/// One answer as the caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How it ended.
    pub ending: Ending,
    /// Result code of a refusal.
    pub code: Option<u16>,
    /// From the planned time to the first token, or to the whole answer.
    pub first_us: u64,
    /// From the planned time to the end.
    pub end_us: u64,
    /// Gaps between tokens.
    pub gaps_us: Vec<u64>,
    /// Whether another region answered.
    pub away: bool,
}

/// Distribution of a time.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LARGEST_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time_us: u64) {
        self.0.saturating_record(time_us);
    }

    /// Adds all of another distribution.
    pub fn merge(&mut self, other: &Self) {
        let _ = self.0.add(&other.0);
    }

    /// Percentile, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.0.value_at_percentile(percentile) as f64 / MICROS_PER_MS
    }

    /// Times seen.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// What was seen of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassTally {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the objective.
    pub good: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
    /// Unfinished answers.
    pub unfinished: u64,
    /// Answers from another region.
    pub away: u64,
    /// Refusals by code.
    pub codes: BTreeMap<u16, u64>,
    /// To the first token, of whole and unfinished answers; as long as was
    /// waited where none came.
    pub first: Times,
    /// Between tokens, of whole answers.
    pub gaps: Times,
    /// To the refusal.
    pub refusals: Times,
}

impl ClassTally {
    /// Adds an answer; `target_us` is the objective for the first token.
    pub fn add(&mut self, seen: &Seen, target_us: u64) {
        self.sent += 1;
        self.away += u64::from(seen.away);
        match seen.ending {
            Ending::Whole => {
                self.whole += 1;
                self.good += u64::from(seen.first_us <= target_us);
                self.first.add(seen.first_us);
                seen.gaps_us.iter().for_each(|gap_us| self.gaps.add(*gap_us));
            }
            Ending::Refused => {
                self.refused += 1;
                self.refusals.add(seen.end_us);
            }
            Ending::Failed => self.failed += 1,
            Ending::Unfinished => {
                self.unfinished += 1;
                self.first.add(seen.first_us);
            }
        }
        if let Some(code) = seen.code {
            *self.codes.entry(code).or_default() += 1;
        }
    }

    /// Adds all of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.good += other.good;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unfinished += other.unfinished;
        self.away += other.away;
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.first.merge(&other.first);
        self.gaps.merge(&other.gaps);
        self.refusals.merge(&other.refusals);
    }
}

/// What was seen, by class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Classes.
    pub classes: BTreeMap<Name, ClassTally>,
}

impl Tally {
    /// All classes together.
    pub fn total(&self) -> ClassTally {
        let mut total = ClassTally::default();
        self.classes.values().for_each(|class| total.merge(class));
        total
    }

    /// One class; empty when nothing was sent.
    pub fn class(&self, name: &str) -> ClassTally {
        self.classes.get(name).cloned().unwrap_or_default()
    }
}
