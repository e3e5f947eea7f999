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
use crate::worker_notices::WorkerStart;

/// Time after which a worker without reports is removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 120_000;

/// Reports needed before a worker that may have turned cold unnoticed counts as
/// warm. The next report alone is not enough, since it may have been sent before
/// the worker turned cold.
const REPORTS_TO_CONFIRM_WARM: u64 = 2;
/// Longest time for which a worker counts as cold on suspicion, in milliseconds.
const MAX_SUSPECTED_COLD_MS: u64 = 6_000;

/// Usual delay of a report, in milliseconds.
const REPORT_DELAY_MS: u64 = 300;
/// Time after a worker has started again within which the word that it leaves may come late from
/// the start before, in milliseconds.
const LATE_LEAVE_MS: u64 = 3_000;
/// Time for which a worker that has missed a report is reported as cold, in milliseconds.
const MISSED_REPORT_COLD_MS: u64 = 3_000;
/// Time between two checks for silent workers above which this host has stood still, in
/// milliseconds.
const MAX_CHECK_INTERVAL_MS: u64 = 1_000;

/// Reports of the same start needed before the version of a worker that was said to have crashed
/// counts again: the next one may have been sent before.
const REPORTS_TO_CONFIRM_VERSION: u64 = 2;
/// Longest time for which the version of such a worker is doubted, in milliseconds.
const MAX_VERSION_DOUBT_MS: u64 = 6_000;

/// The doubt that a worker still has the version of its last report.
#[derive(Clone, Copy, Debug)]
struct VersionDoubt {
    until_ms: u64,
    /// Sequence number from which a report of the same start ends the doubt.
    until_sequence: u64,
}

/// The state of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest report of the worker.
    pub report: FleetWorker,
    /// Time at which the report arrived.
    pub last_received_ms: u64,
    /// Time until which the worker counts as cold.
    pub cold_until_ms: u64,
    /// Sequence number from which a report decides whether the worker is cold;
    /// `None` unless it is suspected to be.
    confirmed_from_sequence: Option<u64>,
    /// Whether another worker has started at its address, without a word that it leaves.
    pub(crate) was_replaced: bool,
    /// Whether this host has stood still since the report, so that it may be out of date.
    pub awaits_report: bool,
    /// Time at which it was first heard after it had started again; `None` if it hasn't, or if a
    /// late word that it leaves has come since.
    restarted_ms: Option<u64>,
    version_doubt: Option<VersionDoubt>,
}

impl WorkerEntry {
    /// Whether its start is said to have crashed, so that another version may run under its id.
    pub fn is_version_doubted(&self, now_ms: u64) -> bool {
        self.version_doubt.is_some_and(|doubt| doubt.until_ms > now_ms)
    }

    /// The doubt that is left after a report.
    fn version_doubt_after(&self, report: &FleetWorker) -> Option<VersionDoubt> {
        self.version_doubt.filter(|doubt| {
            report.born_ms == self.report.born_ms && report.sequence < doubt.until_sequence
        })
    }

    /// Whether the worker takes new requests.
    pub fn is_ready(&self) -> bool {
        self.report.state == FleetWorkerState::Ready
    }

    /// Whether the worker serves requests that it has, by its last report.
    fn serves(&self) -> bool {
        matches!(self.report.state, FleetWorkerState::Ready | FleetWorkerState::Draining)
    }

    /// The start of the worker that its report describes.
    pub fn start(&self) -> WorkerStart {
        WorkerStart { id: self.report.id.clone(), born_ms: self.report.born_ms }
    }

    /// Whether the worker has left, or another one has its address.
    pub fn has_left(&self) -> bool {
        self.report.state == FleetWorkerState::Left
    }

    /// Whether its reports have stopped, without a word that it leaves.
    pub(crate) fn is_silent(&self) -> bool {
        self.report.state == FleetWorkerState::Silent
    }

    /// The report for a host that has no reports yet, with the remaining cold time
    /// as of now. A worker that has missed a report may have restarted, so it is
    /// reported as cold for a while.
    pub fn to_report(&self, now_ms: u64, report_interval_ms: u64) -> FleetWorker {
        let mut report = self.report.clone();
        report.cold_ms = self.cold_until_ms.saturating_sub(now_ms);
        let age_ms = now_ms.saturating_sub(self.last_received_ms);
        if age_ms > report_interval_ms * 3 / 2 + REPORT_DELAY_MS {
            report.cold_ms = report.cold_ms.max(MISSED_REPORT_COLD_MS);
        }
        report
    }

    fn suspect_cold(&mut self, now_ms: u64) {
        self.confirmed_from_sequence = Some(self.report.sequence + REPORTS_TO_CONFIRM_WARM);
        self.cold_until_ms = self.cold_until_ms.max(now_ms + MAX_SUSPECTED_COLD_MS);
    }

    /// Whether the worker remains suspected of being cold after a report, since the
    /// report is too early to show that it is warm.
    fn is_suspected_after(&self, report: &FleetWorker) -> bool {
        let is_confirmed =
            self.confirmed_from_sequence.is_none_or(|sequence| report.sequence >= sequence);
        !is_confirmed && report.born_ms == self.report.born_ms && report.cold_ms == 0
    }
}

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
        let is_relevant = existing.is_none_or(|existing| {
            existing.awaits_report || changes_decisions(&report, existing, now_ms)
        });
        self.history.record(now_ms, &report);
        if let Some(existing) = existing {
            self.history.record(now_ms, &existing.report);
        }
        let suspected = existing.filter(|existing| existing.is_suspected_after(&report));
        let confirmed_from_sequence =
            suspected.and_then(|existing| existing.confirmed_from_sequence);
        let suspected_until_ms = suspected.map_or(0, |existing| existing.cold_until_ms);
        let restarted_ms = match existing {
            Some(existing) if existing.report.born_ms == report.born_ms => existing.restarted_ms,
            existing => existing.map(|_| now_ms),
        };
        let entry = WorkerEntry {
            cold_until_ms: (now_ms + report.cold_ms).max(suspected_until_ms),
            last_received_ms: now_ms,
            confirmed_from_sequence,
            was_replaced: false,
            awaits_report: false,
            restarted_ms,
            version_doubt: existing.and_then(|existing| existing.version_doubt_after(&report)),
            report,
        };
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
        entry.version_doubt = Some(VersionDoubt {
            until_ms: now_ms + MAX_VERSION_DOUBT_MS,
            until_sequence: entry.report.sequence + REPORTS_TO_CONFIRM_VERSION,
        });
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

fn changes_decisions(report: &FleetWorker, existing: &WorkerEntry, now_ms: u64) -> bool {
    let old = &existing.report;
    let was_cold = existing.cold_until_ms > now_ms && !existing.is_suspected_after(report);
    old.state != report.state
        || old.born_ms != report.born_ms
        || old.address != report.address
        || old.service != report.service
        || old.version != report.version
        || existing.confirmed_from_sequence.is_some() && !existing.is_suspected_after(report)
        || (report.cold_ms > 0) != was_cold
        || existing.version_doubt.is_some() && existing.version_doubt_after(report).is_none()
}
