//! Data of the report on a day's requests.

use std::collections::BTreeMap;

use serde::Serialize;

/// Percentiles of a duration over several answers, in milliseconds; 0 without answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DurationPercentiles {
    /// The median.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
}

/// Outcomes of the requests of one second, by the time of their log lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Answers that were transferred completely.
    pub complete: u64,
    /// Answers whose transfer was interrupted or cancelled.
    pub broken: u64,
    /// Requests that were abandoned, except those that another host forwarded, since that host
    /// logs them itself.
    pub given_up: u64,
    /// Time to the first chunk of the answers.
    pub first: DurationPercentiles,
}

/// Outcomes of the requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouteReport {
    /// Answers by the outcome of their transfer, such as `complete`.
    pub answers: BTreeMap<String, u64>,
    /// Answers with a status of 500 or above, which came from the worker itself.
    pub failures: u64,
    /// Requests that were abandoned, by result code, without those that another host forwarded.
    pub given_up: BTreeMap<u64, u64>,
    /// Time to the first chunk of the answers.
    pub first: DurationPercentiles,
    /// Longest pause between two chunks of each answer.
    pub pause: DurationPercentiles,
}

/// Outcomes of the attempts at one worker, or at another host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkerReport {
    /// All attempts, with or without an answer.
    pub attempts: u64,
    /// Attempts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Attempts by the reason for which the worker or host was chosen.
    pub chosen: BTreeMap<String, u64>,
}

/// Outcomes and latencies of requests, aggregated from log lines by a [`RequestLogAggregator`].
///
/// [`RequestLogAggregator`]: super::RequestLogAggregator
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestLogReport {
    /// Unix time of the earliest line that reports on a request, in milliseconds.
    pub began_ms: u64,
    /// Lines that report on requests.
    pub lines: u64,
    /// Lines that could not be parsed or belong to other events, without blank ones.
    pub other_lines: u64,
    /// Outcomes by seconds since the second of the earliest line.
    pub seconds: BTreeMap<u64, SecondReport>,
    /// Outcomes by name of the route; requests without a route have an empty name.
    pub routes: BTreeMap<String, RouteReport>,
    /// Attempts by id of the worker or name of the host.
    pub workers: BTreeMap<String, WorkerReport>,
}
