//! The report of a day.

use std::collections::BTreeMap;

use serde::Serialize;

/// Times of several answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Times {
    /// Median.
    pub p50_ms: u64,
    /// All but one in a hundred.
    pub p99_ms: u64,
}

/// What became of the requests of a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Answers passed on whole.
    pub complete: u64,
    /// Answers whose passing on ended otherwise.
    pub broken: u64,
    /// Requests given up on, without those that another host passed on.
    pub given_up: u64,
    /// Time to the first part of the answers.
    pub first: Times,
}

/// What became of the requests of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouteReport {
    /// Answers by how their passing on ended.
    pub answers: BTreeMap<String, u64>,
    /// Failures of a worker's own among the answers.
    pub failures: u64,
    /// Requests given up on, by code.
    pub given_up: BTreeMap<u64, u64>,
    /// Time to the first part of the answers.
    pub first: Times,
    /// Longest pauses of the answers.
    pub pause: Times,
}

/// What became of the attempts at a worker, or at another host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Attempts.
    pub attempts: u64,
    /// Attempts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Attempts by why it was chosen.
    pub chosen: BTreeMap<String, u64>,
}

/// The report of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DayReport {
    /// Unix time of the first line that tells of a request, in milliseconds.
    pub began_ms: u64,
    /// Lines that tell of requests.
    pub lines: u64,
    /// Lines that could not be read or tell of something else.
    pub other_lines: u64,
    /// By seconds since the first line.
    pub seconds: BTreeMap<u64, SecondReport>,
    /// By name of the route; requests without one stand under an empty name.
    pub routes: BTreeMap<String, RouteReport>,
    /// By id of the worker or name of the host.
    pub workers: BTreeMap<String, WorkerReport>,
}
