//! The workers of a fleet.
//!
//! Reports of workers are relayed by several hosts and arrive late, twice or out of
//! order. The newest report of each worker counts, by the start of the worker and
//! then by sequence number. A worker that has left counts as left until it
//! starts again. An address belongs to the worker that started last.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};
use anvillift_schema::name::Name;

use crate::report_limits;
use crate::version_history::VersionHistory;
use crate::worker_entry::WorkerEntry;
use crate::worker_notices::WorkerStart;

/// Time after which a worker without reports is removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 120_000;
/// Time after a worker has started again within which the word that it leaves may come late from
/// the start before, in milliseconds.
const LATE_LEAVE_MS: u64 = 3_000;
/// Time between two checks for silent workers above which this host has stood still, in
/// milliseconds.
const MAX_CHECK_INTERVAL_MS: u64 = 1_000;

/// The workers by id and by address.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    workers: BTreeMap<Name, WorkerEntry>,
    by_address: BTreeMap<String, Name>,
    history: VersionHistory,
    /// Time of the last check for silent workers.
    checked_ms: Option<u64>,
}

impl WorkerTable {
    /// Adds a report. Returns whether it changes anything that routing decisions depend on.
    /// A report with a number above its limit changes nothing.
    pub fn merge(&mut self, now_ms: u64, report: FleetWorker) -> bool {
        if report_limits::check(&report).is_err() {
            return false;
        }
        let existing = self.workers.get(&report.id);
        if existing.is_some_and(|existing| !supersedes(&report, &existing.report)) {
            return false;
        }
        if !self.assign_address(now_ms, &report) {
            return false;
        }
        let existing = self.workers.get(&report.id);
        let is_relevant = existing.is_none_or(|existing| existing.is_changed_by(&report, now_ms));
        self.history.record(now_ms, &report);
        if let Some(existing) = existing {
            self.history.record(now_ms, &existing.report);
        }
        let entry = WorkerEntry::after(existing, now_ms, report);
        self.workers.insert(entry.report.id.clone(), entry);
        is_relevant
    }

    /// The report that a worker has left, by its word, which names no start. `None` if the worker
    /// isn't known, or has just started again, so that the start before it may have said so.
    pub fn leave_report(&mut self, now_ms: u64, id: &str) -> Option<FleetWorker> {
        let entry = self.workers.get_mut(id)?;
        let restarted_ms = entry.restarted_ms.take();
        if restarted_ms.is_some_and(|at_ms| now_ms < at_ms + LATE_LEAVE_MS) {
            return None;
        }
        let mut report = entry.report.clone();
        report.state = FleetWorkerState::Left;
        report.sequence += 1;
        Some(report)
    }

    /// Counts the workers of a data centre as cold until their reports show
    /// otherwise. Workers without requests for a while may have turned cold since
    /// their last reports.
    pub fn suspect_data_centre_cold(&mut self, now_ms: u64, data_centre: &str) {
        let is_in_data_centre =
            |entry: &&mut WorkerEntry| entry.report.data_centre.as_str() == data_centre;
        for entry in self.workers.values_mut().filter(is_in_data_centre) {
            entry.suspect_cold(now_ms);
        }
    }

    /// Counts a worker as cold until its reports show otherwise. Used for a worker
    /// that could not be reached, since it may have restarted.
    pub fn suspect_cold(&mut self, now_ms: u64, id: &str) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.suspect_cold(now_ms);
        }
    }

    /// Doubts the version of a worker whose start is said to have crashed. Returns whether that is
    /// its last known start, and was not doubted before.
    pub fn doubt_version(&mut self, now_ms: u64, start: &WorkerStart) -> bool {
        let Some(entry) = self.workers.get_mut(&start.id) else { return false };
        if entry.report.born_ms != start.born_ms || entry.is_version_doubted(now_ms) {
            return false;
        }
        entry.doubt_version(now_ms);
        true
    }

    /// Marks ready and draining workers without a report for longer than
    /// `silent_after_ms` as silent and returns their reports. Also removes workers
    /// whose last report is much older. Time for which this host stood still doesn't count.
    pub fn expire(&mut self, now_ms: u64, silent_after_ms: u64) -> Vec<FleetWorker> {
        self.excuse_standstill(now_ms);
        let silent = |entry: &&mut WorkerEntry| {
            entry.serves() && entry.last_received_ms + silent_after_ms < now_ms
        };
        let expired: Vec<FleetWorker> = self
            .workers
            .values_mut()
            .filter(silent)
            .map(|entry| {
                entry.report.state = FleetWorkerState::Silent;
                entry.report.clone()
            })
            .collect();
        self.workers.retain(|_, entry| entry.last_received_ms + REMOVE_AFTER_MS >= now_ms);
        self.history.remove_old(now_ms);
        let workers = &self.workers;
        self.by_address.retain(|_, id| workers.contains_key(id));
        expired
    }

    /// Postpones the silence of all workers by the time since the last check, if this host has stood
    /// still since: their reports have not been read yet. The next one counts as news.
    fn excuse_standstill(&mut self, now_ms: u64) {
        let since_ms = now_ms - self.checked_ms.replace(now_ms).unwrap_or(now_ms);
        if since_ms <= MAX_CHECK_INTERVAL_MS {
            return;
        }
        for entry in self.workers.values_mut().filter(|entry| entry.serves()) {
            entry.last_received_ms = (entry.last_received_ms + since_ms).min(now_ms);
            entry.awaits_report = true;
        }
    }

    /// Removes workers that have been gone for a long time. Workers that serve are
    /// kept however old their reports are, since they are reported again only when
    /// they change.
    pub fn remove_gone(&mut self, now_ms: u64) {
        self.workers.retain(|_, entry| {
            entry.serves() || entry.last_received_ms + REMOVE_AFTER_MS >= now_ms
        });
        self.history.remove_old(now_ms);
        let workers = &self.workers;
        self.by_address.retain(|_, id| workers.contains_key(id));
    }

    /// The state of a worker.
    pub fn get(&self, id: &str) -> Option<&WorkerEntry> {
        self.workers.get(id)
    }

    /// The worker that started last at an address.
    pub fn at_address(&self, address: &str) -> Option<&WorkerEntry> {
        self.workers.get(self.by_address.get(address)?)
    }

    /// All workers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// The workers of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkerEntry> + 'a {
        let serves = move |entry: &&WorkerEntry| {
            entry.is_ready() && entry.report.service.as_str() == service
        };
        self.workers.values().filter(serves)
    }

    /// The version that all workers of a service have had since `since_ms`, or `None`
    /// if there were several, none, or one that is unknown. A worker that has not left
    /// may still serve, however old its last report is.
    pub fn only_version_since(&self, service: &str, since_ms: u64) -> Option<&Name> {
        let may_serve = |entry: &&WorkerEntry| {
            entry.report.state != FleetWorkerState::Left && entry.report.service.as_str() == service
        };
        let current = self.workers.values().filter(may_serve);
        let current = current.map(|entry| entry.report.version.as_ref());
        let mut versions = self.history.seen_since(service, since_ms).chain(current);
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }

    /// Assigns an address to the worker that started last. Returns whether that is
    /// the worker of the report.
    fn assign_address(&mut self, now_ms: u64, report: &FleetWorker) -> bool {
        if let Some(owner) = self.by_address.get(&report.address)
            && *owner != report.id
            && let Some(entry) = self.workers.get_mut(owner)
        {
            if entry.report.born_ms > report.born_ms {
                return false;
            }
            entry.was_replaced = entry.is_ready() || entry.is_silent();
            entry.report.state = FleetWorkerState::Left;
            self.history.record(now_ms, &entry.report);
        }
        self.by_address.insert(report.address.clone(), report.id.clone());
        true
    }
}

fn supersedes(report: &FleetWorker, existing: &FleetWorker) -> bool {
    if report.born_ms != existing.born_ms {
        return report.born_ms > existing.born_ms;
    }
    match (report.state, existing.state) {
        (_, FleetWorkerState::Left) => false,
        (FleetWorkerState::Left, _) => true,
        // A receiver marks a worker as silent on the report that it already has, so
        // the sequence number may be equal.
        (FleetWorkerState::Silent, _) => report.sequence >= existing.sequence,
        (FleetWorkerState::Ready, FleetWorkerState::Draining) => false,
        _ => report.sequence > existing.sequence,
    }
}
