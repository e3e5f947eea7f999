//! Counts and latencies of answers, by request class.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use hdrhistogram::Histogram;

const MAX_DURATION_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1000.0;

/// Status of a request when its recording ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStatus {
    /// The answer was received completely.
    Complete,
    /// The gateway refused the request with a result code.
    Refused,
    /// The answer was an error without result code, was interrupted, or did not come.
    Failed,
    /// The answer was missing or incomplete when the run ended.
    Unfinished,
}

/// Status and latencies of one request, measured by the caller.
#[derive(Clone, Debug)]
pub struct AnswerRecord {
    /// Whether the answer is complete, or why not.
    pub status: AnswerStatus,
    /// Result code of a refusal; `None` for other answers.
    pub code: Option<u16>,
    /// Time from the planned send time to the first token, or to the end when there is
    /// none.
    pub first_token_us: u64,
    /// Time from the planned send time to the end of the answer.
    pub end_us: u64,
    /// Times between consecutive tokens.
    pub token_gaps_us: Vec<u64>,
    /// Whether a host of another region handled the request.
    pub is_away: bool,
}

/// Histogram of durations in microseconds with three significant digits, up to 600 s.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_DURATION_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl DurationHistogram {
    /// Adds a duration; longer ones than the upper limit count as that limit.
    pub fn add(&mut self, duration_us: u64) {
        self.0.saturating_record(duration_us);
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let _ = self.0.add(&other.0);
    }

    /// Returns a percentile from 0 to 100, in milliseconds; 0 when empty.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.0.value_at_percentile(percentile) as f64 / MICROS_PER_MS
    }

    /// Number of durations added.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// Counts and latencies of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassTally {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub complete: u64,
    /// Number of complete answers whose first token came within the target.
    pub within_target: u64,
    /// Number of requests refused with a result code.
    pub refused: u64,
    /// Number of requests that failed without a result code.
    pub failed: u64,
    /// Number of answers missing or incomplete when the run ended.
    pub unfinished: u64,
    /// Number of answers handled by a host of another region, including refusals and
    /// interrupted streams.
    pub away: u64,
    /// Number of refusals by result code.
    pub codes: BTreeMap<u16, u64>,
    /// Times to the first token of complete and unfinished answers; the total time when
    /// no token came, as for plain requests.
    pub first_token: DurationHistogram,
    /// Times between tokens of complete answers.
    pub token_gaps: DurationHistogram,
    /// Times to the refusal, of refused requests.
    pub refusals: DurationHistogram,
}

impl ClassTally {
    /// Counts a request; `target_us` is the target time to the first token.
    pub fn add(&mut self, record: &AnswerRecord, target_us: u64) {
        self.sent += 1;
        self.away += u64::from(record.is_away);
        match record.status {
            AnswerStatus::Complete => {
                self.complete += 1;
                self.within_target += u64::from(record.first_token_us <= target_us);
                self.first_token.add(record.first_token_us);
                record.token_gaps_us.iter().for_each(|gap_us| self.token_gaps.add(*gap_us));
            }
            AnswerStatus::Refused => {
                self.refused += 1;
                self.refusals.add(record.end_us);
            }
            AnswerStatus::Failed => self.failed += 1,
            AnswerStatus::Unfinished => {
                self.unfinished += 1;
                self.first_token.add(record.first_token_us);
            }
        }
        if let Some(code) = record.code {
            *self.codes.entry(code).or_default() += 1;
        }
    }

    /// Adds the counts and latencies of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.within_target += other.within_target;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unfinished += other.unfinished;
        self.away += other.away;
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.first_token.merge(&other.first_token);
        self.token_gaps.merge(&other.token_gaps);
        self.refusals.merge(&other.refusals);
    }
}

/// Counts and latencies of a load run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Tally of each class with at least one counted request, by class name.
    pub classes: BTreeMap<Name, ClassTally>,
}

impl Tally {
    /// Sum over all classes.
    pub fn total(&self) -> ClassTally {
        let mut total = ClassTally::default();
        self.classes.values().for_each(|class| total.merge(class));
        total
    }

    /// Tally of one class; empty when no request of it was counted.
    pub fn class(&self, name: &str) -> ClassTally {
        self.classes.get(name).cloned().unwrap_or_default()
    }
}
