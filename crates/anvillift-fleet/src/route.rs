//! Routes.

use std::collections::BTreeSet;

use anvillift_schema::name::Name;

use crate::repeat_kind::RepeatKind;

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Service.
    pub service: Name,
    /// Share of the requests, relative to the other targets.
    pub weight: u64,
}

/// Where the requests of a host and a path prefix go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host in the requests.
    pub host: String,
    /// Beginning of their paths.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RepeatKind,
    /// Longest time that a request may wait, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause within a stream that is of full use, in milliseconds.
    pub target_gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Most workers that may run one request.
    pub attempts: u32,
    /// Regions that may hold the data; empty where any may.
    pub home_regions: BTreeSet<Name>,
}

impl Route {
    /// Whether a region may hold the data.
    pub fn allows_region(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.contains(region)
    }

    /// The target for a draw between 0 and 1.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = (draw * total as f64) as u64;
        self.targets.iter().find(|target| {
            let taken = left < target.weight;
            left = left.saturating_sub(target.weight);
            taken
        })
    }
}
