//! The requests whose answers broke off or never came, until it is known whether their
//! worker has crashed.
//!
//! An answer that breaks off may have other causes than a crash. A crash is confirmed
//! when the worker can't be reached afterwards, has started anew, or reports nothing any
//! more. A request that was given up without an answer is no reason for a check: it counts
//! if the worker turns out to have crashed. It does not count if it was sent after the crash
//! was confirmed: it went to the restarted worker, whose first report had not arrived yet. If it
//! was sent before, and is given up later, it was in flight at that crash and not at another.
//! Nor does it count if the worker goes on with a request that was sent before: the worker was
//! slow then, and has not crashed.

use std::collections::{BTreeMap, BTreeSet};

use crate::request_features::RequestFeatures;
use crate::worker_notices::WorkerStart;
use crate::worker_table::WorkerTable;

/// Time for which a crash may be confirmed, in milliseconds.
const CONFIRMABLE_MS: u64 = 5_000;
/// Time for which the confirmed crash of a start of a worker is remembered, in milliseconds.
/// Requests that were sent before the restarted worker has reported end within that time.
const CRASH_KNOWN_MS: u64 = 60_000;
/// Most workers for which such requests are kept.
const MAX_WORKERS: usize = 256;
/// Most requests kept for one worker.
const MAX_REQUESTS: usize = 128;

/// A crash of a worker that is confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmedCrash {
    /// The start of the worker that has ended.
    pub worker: WorkerStart,
    /// Time at which the first answer broke off or was given up, in milliseconds.
    pub at_ms: u64,
    /// Whether requests were only given up there, so that the crash was before `at_ms`.
    pub is_given_up: bool,
    /// The requests that were in flight.
    pub requests: BTreeSet<RequestFeatures>,
}

/// When a start of a worker crashed, and when that was confirmed, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    at_ms: u64,
    confirmed_ms: u64,
    /// Whether requests were only given up there.
    is_given_up: bool,
}

#[derive(Clone, Debug)]
struct BrokenAt {
    since_ms: u64,
    requests: BTreeSet<RequestFeatures>,
    /// Requests that were only given up, each with the time.
    given_up_ms: BTreeMap<RequestFeatures, u64>,
    /// Whether an answer broke off, rather than never came.
    has_broken: bool,
    is_checked: bool,
}

impl BrokenAt {
    fn request_count(&self) -> usize {
        self.requests.len() + self.given_up_ms.len()
    }

    /// All requests, each fingerprint once: what is known of one that broke off is more than what
    /// counts of one that was given up.
    fn take_requests(&mut self) -> BTreeSet<RequestFeatures> {
        let mut requests = std::mem::take(&mut self.requests);
        let fingerprints: BTreeSet<_> = requests.iter().map(|it| it.fingerprint).collect();
        let given_up = std::mem::take(&mut self.given_up_ms).into_keys();
        requests.extend(given_up.filter(|it| !fingerprints.contains(&it.fingerprint)));
        requests
    }

    /// Whether the worker has crashed, by its reports. One that leaves as planned may leave
    /// requests without an answer.
    fn has_crashed(&self, worker: &WorkerStart, workers: &WorkerTable) -> bool {
        let Some(entry) = workers.get(&worker.id) else { return self.has_broken };
        let has_ended = entry.was_replaced || (entry.has_left() && self.has_broken);
        entry.report.born_ms != worker.born_ms || has_ended || entry.is_silent()
    }
}

/// Answers that broke off or did not come lately, by the start of their worker.
#[derive(Clone, Debug, Default)]
pub struct BrokenRequests {
    workers: BTreeMap<WorkerStart, BrokenAt>,
    /// The first crash of a start that was confirmed.
    crashes: BTreeMap<WorkerStart, KnownCrash>,
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
        let Some(broken) = self.broken_at(now_ms, worker) else { return false };
        if broken.request_count() < MAX_REQUESTS {
            broken.requests.insert(features.clone());
        }
        broken.has_broken = true;
        !broken.is_checked
    }

    /// Records that a request that was sent at `sent_ms` was given up before its answer was
    /// complete. Only the request as a whole counts: prompts that share parts are given up
    /// together when workers are slow.
    pub fn record_unanswered(
        &mut self,
        now_ms: u64,
        worker: &WorkerStart,
        sent_ms: u64,
        features: &RequestFeatures,
    ) {
        if self.crashes.get(worker).is_some_and(|crash| sent_ms > crash.confirmed_ms) {
            return;
        }
        let Some(broken) = self.broken_at(now_ms, worker) else { return };
        let is_known =
            broken.requests.iter().any(|request| request.fingerprint == features.fingerprint);
        if !is_known && broken.request_count() < MAX_REQUESTS {
            let whole = RequestFeatures { fingerprint: features.fingerprint, ..Default::default() };
            broken.given_up_ms.entry(whole).or_insert(now_ms);
        }
    }

    /// Records that bytes of the answer to a request have arrived that was sent at `sent_ms`.
    /// Requests that were given up since had not crashed the worker when they were.
    pub fn record_answering(&mut self, worker: &WorkerStart, sent_ms: u64) {
        let Some(broken) = self.workers.get_mut(worker) else { return };
        broken.given_up_ms.retain(|_, given_up_ms| *given_up_ms < sent_ms);
        if broken.request_count() == 0 {
            self.workers.remove(worker);
        }
    }

    fn broken_at(&mut self, now_ms: u64, worker: &WorkerStart) -> Option<&mut BrokenAt> {
        if !self.workers.contains_key(worker) && self.workers.len() >= MAX_WORKERS {
            return None;
        }
        let new = BrokenAt {
            since_ms: now_ms,
            requests: BTreeSet::new(),
            given_up_ms: BTreeMap::new(),
            has_broken: false,
            is_checked: false,
        };
        Some(self.workers.entry(worker.clone()).or_insert(new))
    }

    /// The workers to be checked, each once.
    pub fn take_unchecked(&mut self) -> Vec<WorkerStart> {
        let is_unchecked = |broken: &BrokenAt| broken.has_broken && !broken.is_checked;
        let unchecked = self.workers.iter_mut().filter(|(_, broken)| is_unchecked(broken));
        unchecked
            .map(|(worker, broken)| {
                broken.is_checked = true;
                worker.clone()
            })
            .collect()
    }

    /// Confirms that a worker has crashed. `None` if no answer broke off there.
    pub fn confirm(&mut self, now_ms: u64, worker: &WorkerStart) -> Option<ConfirmedCrash> {
        let mut broken = self.workers.remove(worker)?;
        let seen = KnownCrash {
            at_ms: broken.since_ms,
            confirmed_ms: now_ms,
            is_given_up: !broken.has_broken,
        };
        let first = *self.crashes.entry(worker.clone()).or_insert(seen);
        if self.crashes.len() > MAX_WORKERS {
            self.forget_first_crash();
        }
        // Requests that were only given up are known to be sent before the crash was confirmed.
        let KnownCrash { at_ms, is_given_up, .. } = if broken.has_broken { seen } else { first };
        Some(ConfirmedCrash {
            worker: worker.clone(),
            at_ms,
            is_given_up,
            requests: broken.take_requests(),
        })
    }

    /// Confirms the crashes of the workers that have started anew or fallen silent, by their
    /// reports.
    pub fn confirm_reported(&mut self, now_ms: u64, workers: &WorkerTable) -> Vec<ConfirmedCrash> {
        let crashed = self.workers.iter().filter(|(worker, it)| it.has_crashed(worker, workers));
        let crashed: Vec<WorkerStart> = crashed.map(|(worker, _)| worker.clone()).collect();
        crashed.iter().filter_map(|worker| self.confirm(now_ms, worker)).collect()
    }

    /// Forgets answers that broke off and crashes that were confirmed too long ago.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.workers.retain(|_, broken| broken.since_ms + CONFIRMABLE_MS >= now_ms);
        self.crashes.retain(|_, crash| crash.confirmed_ms + CRASH_KNOWN_MS >= now_ms);
    }

    fn forget_first_crash(&mut self) {
        let first = self.crashes.iter().min_by_key(|(_, crash)| crash.confirmed_ms);
        if let Some(worker) = first.map(|(worker, _)| worker.clone()) {
            self.crashes.remove(&worker);
        }
    }
}
