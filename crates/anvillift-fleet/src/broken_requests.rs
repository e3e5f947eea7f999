//! The requests whose answers broke off, until it is known whether their worker has
//! crashed.
//!
//! An answer that breaks off may have other causes than a crash. A crash is confirmed
//! when the worker can't be reached afterwards, or has started anew.

use std::collections::{BTreeMap, BTreeSet};

use crate::request_features::RequestFeatures;
use crate::worker_notices::WorkerStart;
use crate::worker_table::WorkerTable;

/// Time for which a crash may be confirmed, in milliseconds.
const CONFIRMABLE_MS: u64 = 5_000;
/// Most workers for which answers that broke off are kept.
const MAX_WORKERS: usize = 256;
/// Most requests kept for one worker.
const MAX_REQUESTS: usize = 128;

/// A crash of a worker that is confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmedCrash {
    /// The start of the worker that has ended.
    pub worker: WorkerStart,
    /// Time at which the first answer broke off, in milliseconds.
    pub at_ms: u64,
    /// The requests that were in flight.
    pub requests: BTreeSet<RequestFeatures>,
}

#[derive(Clone, Debug)]
struct BrokenAt {
    since_ms: u64,
    requests: BTreeSet<RequestFeatures>,
    is_checked: bool,
}

/// Answers that broke off lately, by the start of their worker.
#[derive(Clone, Debug, Default)]
pub struct BrokenRequests {
    workers: BTreeMap<WorkerStart, BrokenAt>,
}

impl BrokenRequests {
    /// Records that the answer to a request broke off. Returns whether it has to be
    /// checked if the worker has crashed.
    pub fn record(
        &mut self,
        now_ms: u64,
        worker: &WorkerStart,
        features: &RequestFeatures,
    ) -> bool {
        if !self.workers.contains_key(worker) && self.workers.len() >= MAX_WORKERS {
            return false;
        }
        let new = BrokenAt { since_ms: now_ms, requests: BTreeSet::new(), is_checked: false };
        let broken = self.workers.entry(worker.clone()).or_insert(new);
        if broken.requests.len() < MAX_REQUESTS {
            broken.requests.insert(features.clone());
        }
        !broken.is_checked
    }

    /// The workers to be checked, each once.
    pub fn take_unchecked(&mut self) -> Vec<WorkerStart> {
        let unchecked = self.workers.iter_mut().filter(|(_, broken)| !broken.is_checked);
        unchecked
            .map(|(worker, broken)| {
                broken.is_checked = true;
                worker.clone()
            })
            .collect()
    }

    /// Confirms that a worker has crashed. `None` if no answer broke off there.
    pub fn confirm(&mut self, worker: &WorkerStart) -> Option<ConfirmedCrash> {
        let broken = self.workers.remove(worker)?;
        let requests = broken.requests;
        Some(ConfirmedCrash { worker: worker.clone(), at_ms: broken.since_ms, requests })
    }

    /// Confirms the crashes of the workers that have started anew, by their reports.
    pub fn confirm_restarted(&mut self, workers: &WorkerTable) -> Vec<ConfirmedCrash> {
        let has_ended = |worker: &&WorkerStart| {
            workers
                .get(&worker.id)
                .is_none_or(|entry| entry.report.born_ms != worker.born_ms || entry.has_left())
        };
        let ended: Vec<WorkerStart> = self.workers.keys().filter(has_ended).cloned().collect();
        ended.iter().filter_map(|worker| self.confirm(worker)).collect()
    }

    /// Forgets answers that broke off too long ago.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.workers.retain(|_, broken| broken.since_ms + CONFIRMABLE_MS >= now_ms);
    }
}
