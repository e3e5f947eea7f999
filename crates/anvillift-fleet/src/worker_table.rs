//! The workers of a fleet.
//!
//! Reports reach a host through several others, late, twice or in another
//! order. For each worker the newest report counts, by start and sequence; a
//! worker that has left stays away until it starts again, and an address
//! belongs to the worker that started last.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};
use anvillift_schema::name::Name;

/// Time after which a worker that isn't heard is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 120_000;

/// Reports that must follow before a worker that may have turned cold unseen
/// counts as warm; one may have been on its way.
const DOUBTED_REPORTS: u64 = 2;
/// Longest time for which a worker counts as cold on doubt, in milliseconds.
const DOUBT_MS: u64 = 6_000;

/// Time by which reports are usually late, in milliseconds.
const LATE_MS: u64 = 300;
/// For how long a worker that has missed a report is told to be cold, in milliseconds.
const TOLD_COLD_MS: u64 = 3_000;

/// A worker as this host knows it.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Its newest report.
    pub report: FleetWorker,
    /// When that arrived.
    pub heard_ms: u64,
    /// Until when it is cold.
    pub cold_until_ms: u64,
    /// First report that tells whether it is still cold, where that is in doubt.
    settled_by_sequence: Option<u64>,
}

impl WorkerEntry {
    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.report.state == FleetWorkerState::Ready
    }

    /// The report as it is told to a host that knows nothing yet. Whether it is
    /// cold is told as of now; one that has missed a report may have started
    /// again, and is told to be cold for a while.
    pub fn as_told(&self, now_ms: u64, report_interval_ms: u64) -> FleetWorker {
        let mut told = self.report.clone();
        told.cold_ms = self.cold_until_ms.saturating_sub(now_ms);
        let age_ms = now_ms.saturating_sub(self.heard_ms);
        if age_ms > report_interval_ms * 3 / 2 + LATE_MS {
            told.cold_ms = told.cold_ms.max(TOLD_COLD_MS);
        }
        told
    }

    fn doubt(&mut self, now_ms: u64) {
        self.settled_by_sequence = Some(self.report.sequence + DOUBTED_REPORTS);
        self.cold_until_ms = self.cold_until_ms.max(now_ms + DOUBT_MS);
    }

    /// Whether a report leaves it open if the worker is cold.
    fn doubts(&self, report: &FleetWorker) -> bool {
        let settled = self.settled_by_sequence.is_none_or(|sequence| report.sequence >= sequence);
        !settled && report.born_ms == self.report.born_ms && report.cold_ms == 0
    }
}

/// The workers by id.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    workers: BTreeMap<Name, WorkerEntry>,
    by_address: BTreeMap<String, Name>,
}

impl WorkerTable {
    /// Takes a report; whether it says anything that bears on decisions.
    pub fn merge(&mut self, now_ms: u64, report: FleetWorker) -> bool {
        let known = self.workers.get(&report.id);
        if known.is_some_and(|known| !supersedes(&report, &known.report)) {
            return false;
        }
        if !self.takes_address(&report) {
            return false;
        }
        let known = self.workers.get(&report.id);
        let matters = known.is_none_or(|known| differs(&report, known, now_ms));
        let doubted = known.filter(|known| known.doubts(&report));
        let settled_by_sequence = doubted.and_then(|known| known.settled_by_sequence);
        let doubted_until_ms = doubted.map_or(0, |known| known.cold_until_ms);
        let entry = WorkerEntry {
            cold_until_ms: (now_ms + report.cold_ms).max(doubted_until_ms),
            heard_ms: now_ms,
            settled_by_sequence,
            report,
        };
        self.workers.insert(entry.report.id.clone(), entry);
        matters
    }

    /// Counts the workers of a data centre as cold until they say otherwise:
    /// what had no work for a while may have turned cold since its last report.
    pub fn doubt_data_centre(&mut self, now_ms: u64, data_centre: &str) {
        let there = |entry: &&mut WorkerEntry| entry.report.data_centre.as_str() == data_centre;
        for entry in self.workers.values_mut().filter(there) {
            entry.doubt(now_ms);
        }
    }

    /// Counts a worker as cold until it says otherwise, as one that could not
    /// be reached and may have started again.
    pub fn doubt(&mut self, now_ms: u64, id: &str) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.doubt(now_ms);
        }
    }

    /// Marks ready workers silent that haven't been heard since a time; gives
    /// their records.
    pub fn expire(&mut self, now_ms: u64, silent_after_ms: u64) -> Vec<FleetWorker> {
        let silent = |entry: &&mut WorkerEntry| {
            let state = entry.report.state;
            matches!(state, FleetWorkerState::Ready | FleetWorkerState::Draining)
                && entry.heard_ms + silent_after_ms < now_ms
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
        self.workers.retain(|_, entry| entry.heard_ms + FORGET_AFTER_MS >= now_ms);
        let workers = &self.workers;
        self.by_address.retain(|_, id| workers.contains_key(id));
        expired
    }

    /// Forgets workers that have long been gone; those that serve are told of
    /// again only when they change.
    pub fn forget_gone(&mut self, now_ms: u64) {
        let serves = |entry: &WorkerEntry| {
            matches!(entry.report.state, FleetWorkerState::Ready | FleetWorkerState::Draining)
        };
        self.workers.retain(|_, entry| serves(entry) || entry.heard_ms + FORGET_AFTER_MS >= now_ms);
        let workers = &self.workers;
        self.by_address.retain(|_, id| workers.contains_key(id));
    }

    /// A worker by its id.
    pub fn get(&self, id: &str) -> Option<&WorkerEntry> {
        self.workers.get(id)
    }

    /// Every worker.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// The workers of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkerEntry> + 'a {
        let serves = move |entry: &&WorkerEntry| {
            entry.is_ready() && entry.report.service.as_str() == service
        };
        self.workers.values().filter(serves)
    }

    /// Gives the address to the worker that started last; whether that is the
    /// one of the report.
    fn takes_address(&mut self, report: &FleetWorker) -> bool {
        if let Some(holder) = self.by_address.get(&report.address)
            && *holder != report.id
            && let Some(entry) = self.workers.get_mut(holder)
        {
            if entry.report.born_ms > report.born_ms {
                return false;
            }
            entry.report.state = FleetWorkerState::Left;
        }
        self.by_address.insert(report.address.clone(), report.id.clone());
        true
    }
}

fn supersedes(report: &FleetWorker, known: &FleetWorker) -> bool {
    if report.born_ms != known.born_ms {
        return report.born_ms > known.born_ms;
    }
    match (report.state, known.state) {
        (_, FleetWorkerState::Left) => false,
        (FleetWorkerState::Left, _) => true,
        // Silence is the receiver's finding about a report, not a newer one.
        (FleetWorkerState::Silent, _) => report.sequence >= known.sequence,
        (FleetWorkerState::Ready, FleetWorkerState::Draining) => false,
        _ => report.sequence > known.sequence,
    }
}

fn differs(report: &FleetWorker, known: &WorkerEntry, now_ms: u64) -> bool {
    let old = &known.report;
    let was_cold = known.cold_until_ms > now_ms && !known.doubts(report);
    old.state != report.state
        || old.born_ms != report.born_ms
        || old.address != report.address
        || old.service != report.service
        || known.settled_by_sequence.is_some() && !known.doubts(report)
        || (report.cold_ms > 0) != was_cold
}
