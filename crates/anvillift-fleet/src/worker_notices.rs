//! What workers have told this host in their answers: that they are leaving, that they
//! want no requests for a time, or how many requests they take.
//!
//! A notice belongs to one start of a worker. The same worker started anew, or another
//! one at its address, begins without it.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::limit_share::SharedLimit;
use crate::worker_table::WorkerTable;

/// One start of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerStart {
    /// Id of the worker.
    pub id: Name,
    /// Start time on the worker's own clock, in milliseconds.
    pub born_ms: u64,
}

/// What a worker has said about new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerNotice {
    /// Time of the first answer that said that the worker is leaving.
    pub leaving_since_ms: Option<u64>,
    /// Time of the last answer that asked for a pause.
    pub pause_asked_ms: u64,
    /// Time until which the worker wants no requests; 0 if it never asked for a pause.
    pub paused_until_ms: u64,
    /// Its limit on the requests of all hosts together; `None` without one.
    pub limit: Option<SharedLimit>,
    /// Time of the last answer that named the limit.
    pub limit_named_ms: u64,
    /// Rejections within a second above which it says that it falls over; `None` unless
    /// it is brittle.
    pub max_rejections_per_s: Option<f64>,
    /// Time of the last answer that said so.
    pub brittle_said_ms: u64,
    /// Time of its last rejection while it was brittle.
    pub last_rejected_ms: Option<u64>,
}

impl WorkerNotice {
    /// Whether the worker wants no requests now.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.paused_until_ms > now_ms
    }
}

/// What each start of a worker has said. Memory is bounded by the workers known, since
/// [`remove_stale`](Self::remove_stale) drops all others.
#[derive(Clone, Debug, Default)]
pub struct WorkerNotices {
    notices: BTreeMap<WorkerStart, WorkerNotice>,
}

impl WorkerNotices {
    /// Records an answer that says that the worker is leaving. Returns whether that is
    /// new.
    pub fn record_leaving(&mut self, now_ms: u64, worker: &WorkerStart) -> bool {
        let notice = self.notices.entry(worker.clone()).or_default();
        let is_new = notice.leaving_since_ms.is_none();
        notice.leaving_since_ms.get_or_insert(now_ms);
        is_new
    }

    /// Records an answer that asks for a pause. Of overlapping pauses the one that ends
    /// last counts, since the worker has asked for each of them.
    pub fn record_pause(&mut self, now_ms: u64, worker: &WorkerStart, pause_ms: u64) {
        let notice = self.notices.entry(worker.clone()).or_default();
        notice.pause_asked_ms = now_ms;
        notice.paused_until_ms = notice.paused_until_ms.max(now_ms.saturating_add(pause_ms));
    }

    /// Records an answer that names a limit, in requests per second. Returns whether
    /// the limit is new.
    pub fn record_limit(&mut self, now_ms: u64, worker: &WorkerStart, rate_per_s: f64) -> bool {
        let notice = self.notices.entry(worker.clone()).or_default();
        notice.limit_named_ms = now_ms;
        let limit = SharedLimit { rate_per_s, ended_ms: None };
        notice.limit.replace(limit) != Some(limit)
    }

    /// Records an answer without a limit to a request that was sent at `sent_ms`. It ends
    /// the limit unless the limit was named after the request was sent, since answers
    /// may overtake each other. Returns whether it does.
    pub fn record_no_limit(&mut self, now_ms: u64, worker: &WorkerStart, sent_ms: u64) -> bool {
        let Some(notice) = self.notices.get_mut(worker) else { return false };
        let Some(limit) = notice.limit.as_mut() else { return false };
        if sent_ms <= notice.limit_named_ms || limit.ended_ms.is_some() {
            return false;
        }
        limit.ended_ms = Some(now_ms);
        true
    }

    /// Records an answer that says that the worker is brittle. Returns whether that, or
    /// the number of rejections, is new.
    pub fn record_brittle(
        &mut self,
        now_ms: u64,
        worker: &WorkerStart,
        max_rejections_per_s: f64,
    ) -> bool {
        let notice = self.notices.entry(worker.clone()).or_default();
        notice.brittle_said_ms = now_ms;
        notice.max_rejections_per_s.replace(max_rejections_per_s) != Some(max_rejections_per_s)
    }

    /// Records an answer that does not say that the worker is brittle, to a request that
    /// was sent at `sent_ms`. Returns whether the worker was brittle before.
    pub fn record_not_brittle(&mut self, worker: &WorkerStart, sent_ms: u64) -> bool {
        let Some(notice) = self.notices.get_mut(worker) else { return false };
        if sent_ms <= notice.brittle_said_ms {
            return false;
        }
        notice.max_rejections_per_s.take().is_some()
    }

    /// Records that a brittle worker has rejected a request.
    pub fn record_rejection(&mut self, now_ms: u64, worker: &WorkerStart) {
        if let Some(notice) = self.notices.get_mut(worker) {
            notice.last_rejected_ms = Some(now_ms);
        }
    }

    /// What a worker has said; the default if it has said nothing.
    pub fn get(&self, worker: &WorkerStart) -> WorkerNotice {
        self.notices.get(worker).copied().unwrap_or_default()
    }

    /// Removes the notices of workers that have left or started anew, and of pauses
    /// that are over.
    pub fn remove_stale(&mut self, now_ms: u64, workers: &WorkerTable) {
        self.notices.retain(|worker, notice| {
            let entry = workers.get(&worker.id);
            let is_current = entry
                .is_some_and(|entry| entry.report.born_ms == worker.born_ms && !entry.has_left());
            let says_something = notice.leaving_since_ms.is_some()
                || notice.is_paused(now_ms)
                || notice.max_rejections_per_s.is_some()
                || notice.limit.is_some_and(|limit| !limit.is_over(now_ms));
            is_current && says_something
        });
    }

    /// All notices.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerStart, &WorkerNotice)> {
        self.notices.iter()
    }
}
