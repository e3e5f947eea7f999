//! Limits of the numbers in a worker's report.
//!
//! A report may come from another writer than the worker. One with a number that no worker
//! can mean names no worker: sums and times that are computed with it would overflow, and
//! no later report could be newer.

use anvillift_schema::fleet::FleetWorker;
use snafu::Snafu;

/// Largest start time and sequence number: the integers that every writer of JSON can write.
const MAX_INTEGER: u64 = (1 << 53) - 1;
/// Most slots of a worker.
const MAX_SLOTS: u64 = 1_000_000;
/// Longest time that a report may name, a day, in milliseconds.
const MAX_DURATION_MS: u64 = 86_400_000;

/// A number in a report that is above its limit.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field} is {value}, above the limit of {limit}"))]
pub struct ReportLimitError {
    /// Field of the report.
    pub field: &'static str,
    /// Value of the field.
    pub value: u64,
    /// Largest value that is accepted.
    pub limit: u64,
}

/// Checks that the numbers in a report are within their limits.
pub fn check(report: &FleetWorker) -> Result<(), ReportLimitError> {
    let fields = [
        ("born_ms", report.born_ms, MAX_INTEGER),
        ("sequence", report.sequence, MAX_INTEGER),
        ("slots", report.slots, MAX_SLOTS),
        ("cold_ms", report.cold_ms, MAX_DURATION_MS),
        ("remaining_ms", report.remaining_ms, MAX_DURATION_MS),
    ];
    let exceeded = fields.into_iter().find(|(_, value, limit)| value > limit);
    exceeded.map_or(Ok(()), |(field, value, limit)| ReportLimitSnafu { field, value, limit }.fail())
}
