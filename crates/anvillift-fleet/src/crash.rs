//! A crash of a worker, with the requests that were in flight there.

use std::collections::BTreeSet;

use crate::broken_requests::ConfirmedCrash;
use crate::quarantine::Quarantine;
use crate::request_features::RequestFeatures;
use crate::worker_notices::WorkerStart;

/// Time between two crashes of a worker from which on they are distinct, also if no report
/// has told of the start between them, in milliseconds.
const DISTINCT_CRASHES_MS: u64 = 1_000;
/// Longest time between crashes of several workers at one moment, in milliseconds.
const SIMULTANEOUS_MS: u64 = 1_000;
/// Longest time between a crash and the moment in which requests that were in flight there are
/// given up, in milliseconds.
const GIVEN_UP_AFTER_MS: u64 = 15_000;
/// Most requests kept of one crash.
const MAX_REQUESTS: usize = 256;

/// One crash, as all hosts together saw it.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    worker: WorkerStart,
    pub(crate) at_ms: u64,
    /// Whether every host only gave requests up, so that the crash was before `at_ms`.
    is_given_up: bool,
    /// Time at which a host last reported something new of it.
    pub(crate) reported_ms: u64,
    pub(crate) requests: BTreeSet<RequestFeatures>,
}

/// What a crash says about the features of the requests in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Testimony {
    /// No quarantined request was in flight, so each feature may be the cause.
    Unexplained,
    /// Quarantined requests were. One of their features may be the cause; it says nothing
    /// about other requests.
    Explained(BTreeSet<u64>),
}

impl Crash {
    pub(crate) fn new(now_ms: u64, crash: ConfirmedCrash) -> Self {
        let requests = crash.requests.into_iter().take(MAX_REQUESTS).collect();
        Self {
            worker: crash.worker,
            at_ms: crash.at_ms,
            is_given_up: crash.is_given_up,
            reported_ms: now_ms,
            requests,
        }
    }

    /// Whether a host reports the same crash. Hosts give requests up seconds apart, so that the
    /// times of these don't show two crashes of one start.
    pub(crate) fn is_same(&self, other: &ConfirmedCrash) -> bool {
        let distinct_ms = if self.is_given_up || other.is_given_up {
            GIVEN_UP_AFTER_MS
        } else {
            DISTINCT_CRASHES_MS
        };
        self.worker == other.worker && self.distance_ms(other) < distinct_ms
    }

    /// Time between the two reports of a crash.
    pub(crate) fn distance_ms(&self, other: &ConfirmedCrash) -> u64 {
        self.at_ms.abs_diff(other.at_ms)
    }

    /// Whether another worker crashed at the same moment.
    pub(crate) fn is_simultaneous(&self, other: &Self) -> bool {
        self.worker.id != other.worker.id && self.at_ms.abs_diff(other.at_ms) < SIMULTANEOUS_MS
    }

    /// Adds what a further report tells of the crash. Returns whether it names a request that
    /// was unknown.
    pub(crate) fn merge(&mut self, now_ms: u64, other: ConfirmedCrash) -> bool {
        self.at_ms = match (self.is_given_up, other.is_given_up) {
            (true, false) => other.at_ms,
            (false, true) => self.at_ms,
            _ => self.at_ms.min(other.at_ms),
        };
        self.is_given_up &= other.is_given_up;
        let known = self.requests.len();
        let free = MAX_REQUESTS.saturating_sub(known);
        let unknown: Vec<RequestFeatures> =
            other.requests.into_iter().filter(|it| !self.requests.contains(it)).collect();
        self.requests.extend(unknown.into_iter().take(free));
        let has_news = self.requests.len() > known;
        if has_news {
            self.reported_ms = now_ms;
        }
        has_news
    }

    /// The crash, as a host reports it.
    pub(crate) fn to_confirmed(&self) -> ConfirmedCrash {
        ConfirmedCrash {
            worker: self.worker.clone(),
            at_ms: self.at_ms,
            is_given_up: self.is_given_up,
            requests: self.requests.clone(),
        }
    }

    /// Whether a feature was in flight.
    pub(crate) fn has(&self, feature: u64) -> bool {
        self.requests.iter().any(|request| request.contains(feature))
    }

    /// Whether one request in flight had both features.
    pub(crate) fn has_together(&self, feature: u64, other: u64) -> bool {
        self.requests.iter().any(|request| request.contains(feature) && request.contains(other))
    }

    pub(crate) fn testimony(&self, quarantine: &Quarantine) -> Testimony {
        let explaining = self.requests.iter().filter(|request| quarantine.explains(request));
        let features: BTreeSet<u64> = explaining.flat_map(RequestFeatures::iter).collect();
        if features.is_empty() { Testimony::Unexplained } else { Testimony::Explained(features) }
    }
}
