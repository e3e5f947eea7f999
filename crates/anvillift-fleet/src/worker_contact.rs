//! Whether this host reaches any worker of its region.
//!
//! A worker that fails says something about itself; different workers that all fail, while
//! no request that was sent later is answered, say that this host is cut off from them, or that
//! all of them are down. Either way requests should go elsewhere until a worker answers again.
//! Start at [`WorkerContact::update`].

use std::collections::BTreeMap;
use std::iter;

use anvillift_schema::name::Name;

/// Different workers that have to fail, or all of them if there are fewer.
const MIN_FAILED_WORKERS: usize = 3;
/// The same where the other workers are reached in another way.
const MIN_FAILED_WORKERS_BESIDE_ANSWERS: usize = 2;
/// Failures that are needed in all.
const MIN_FAILURES: u64 = 3;

/// Failures of one worker since the newest request that any worker has answered.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u64,
    /// Time of sending of the last of them, in milliseconds.
    last_sent_ms: u64,
}

/// A change of the contact to workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactChange {
    /// No worker is reached any more.
    Lost,
    /// A worker has answered.
    Regained,
}

/// A worker that has sent nothing for long while it has a request.
#[derive(Clone, Debug)]
pub struct SilentWorker {
    /// Id of the worker.
    pub worker: Name,
    /// Time since which it sends nothing, in milliseconds.
    pub since_ms: u64,
}

/// The contact of this host to the workers of its region.
#[derive(Clone, Debug, Default)]
pub struct WorkerContact {
    /// Time of sending of the newest request that a worker has answered, in milliseconds.
    answered_sent_ms: u64,
    failures: BTreeMap<Name, Failures>,
    is_lost: bool,
}

impl WorkerContact {
    /// Whether no worker is reached.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Records that a worker has answered a request that was sent at `sent_ms`, in whatever way.
    pub fn record_answer(&mut self, sent_ms: u64) -> Option<ContactChange> {
        self.answered_sent_ms = self.answered_sent_ms.max(sent_ms);
        let answered_ms = self.answered_sent_ms;
        self.failures.retain(|_, failures| failures.last_sent_ms > answered_ms);
        self.end_loss()
    }

    /// Records that a worker could not be reached, or did not answer a request, that was sent at
    /// `sent_ms`.
    pub fn record_failure(&mut self, worker: &Name, sent_ms: u64) {
        if sent_ms <= self.answered_sent_ms {
            return;
        }
        let failures = self.failures.entry(worker.clone()).or_default();
        failures.count += 1;
        failures.last_sent_ms = failures.last_sent_ms.max(sent_ms);
    }

    /// Concludes from the failures whether contact is lost. `ready_workers` is the number of
    /// workers of the region that take requests.
    pub fn update(
        &mut self,
        ready_workers: usize,
        silent: impl Iterator<Item = SilentWorker>,
    ) -> Option<ContactChange> {
        self.conclude(ready_workers, MIN_FAILED_WORKERS, silent)
    }

    /// The same for one way to the workers beside another, `all`, which counts every request. If a
    /// worker has answered a request that was sent after a failure, the other way works, and
    /// requests may use it to all workers but those that fail.
    pub fn update_beside(&mut self, ready_workers: usize, all: &Self) -> Option<ContactChange> {
        let has_failed_before = |failures: &Failures| failures.last_sent_ms < all.answered_sent_ms;
        let min_failed_workers = if self.failures.values().any(has_failed_before) {
            MIN_FAILED_WORKERS_BESIDE_ANSWERS
        } else {
            MIN_FAILED_WORKERS
        };
        self.conclude(ready_workers, min_failed_workers, iter::empty())
    }

    fn conclude(
        &mut self,
        ready_workers: usize,
        min_failed_workers: usize,
        silent: impl Iterator<Item = SilentWorker>,
    ) -> Option<ContactChange> {
        if ready_workers == 0 {
            self.failures.clear();
            return self.end_loss();
        }
        if self.is_lost {
            return None;
        }
        let mut failed: BTreeMap<&Name, u64> =
            self.failures.iter().map(|(worker, failures)| (worker, failures.count)).collect();
        let silent: Vec<SilentWorker> =
            silent.filter(|silent| silent.since_ms > self.answered_sent_ms).collect();
        for silent in &silent {
            *failed.entry(&silent.worker).or_default() += 1;
        }
        let failures: u64 = failed.values().sum();
        let needed_workers = ready_workers.min(min_failed_workers);
        self.is_lost = failed.len() >= needed_workers && failures >= MIN_FAILURES;
        self.is_lost.then_some(ContactChange::Lost)
    }

    fn end_loss(&mut self) -> Option<ContactChange> {
        std::mem::take(&mut self.is_lost).then_some(ContactChange::Regained)
    }
}
