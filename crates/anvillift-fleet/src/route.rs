//! Routes: which services take the requests of a host and path prefix.

use std::collections::BTreeSet;

use anvillift_schema::name::Name;

use crate::repeat_kind::RepeatKind;

/// A service that takes a share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u64,
}

/// How requests with a host and a path prefix are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route in settings and logs.
    pub name: Name,
    /// `Host` of the requests.
    pub host: String,
    /// Start of the paths of the requests.
    pub path_prefix: String,
    /// How often the requests may run.
    pub kind: RepeatKind,
    /// Longest time until an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency above which an answer is worth less to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// Pause within a stream above which the stream is worth less to the caller, in
    /// milliseconds.
    pub target_gap_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Most workers that may run one request.
    pub attempts: u32,
    /// Regions that may hold the data of the requests; empty if any may.
    pub home_regions: BTreeSet<Name>,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

impl Route {
    /// Picks a target by weight; `draw` lies between 0 and 1.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = (draw * total as f64) as u64;
        self.targets.iter().find(|target| {
            let is_picked = remaining < target.weight;
            remaining = remaining.saturating_sub(target.weight);
            is_picked
        })
    }
}
