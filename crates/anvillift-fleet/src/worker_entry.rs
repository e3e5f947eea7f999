//! The state of one worker, by its reports and by what hosts say of it.

use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};

use crate::worker_notices::WorkerStart;

/// Reports needed before a worker that may have turned cold unnoticed counts as
/// warm. The next report alone is not enough, since it may have been sent before
/// the worker turned cold.
const REPORTS_TO_CONFIRM_WARM: u64 = 2;
/// Longest time for which a worker counts as cold on suspicion, in milliseconds.
const MAX_SUSPECTED_COLD_MS: u64 = 6_000;
/// Usual delay of a report, in milliseconds.
const REPORT_DELAY_MS: u64 = 300;
/// Time for which a worker that has missed a report is reported as cold, in milliseconds.
const MISSED_REPORT_COLD_MS: u64 = 3_000;
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
    pub(crate) restarted_ms: Option<u64>,
    version_doubt: Option<VersionDoubt>,
}

impl WorkerEntry {
    /// The entry after a report; `existing` is the one before.
    pub(crate) fn after(existing: Option<&Self>, now_ms: u64, report: FleetWorker) -> Self {
        let suspected = existing.filter(|existing| existing.is_suspected_after(&report));
        let suspected_until_ms = suspected.map_or(0, |existing| existing.cold_until_ms);
        let restarted_ms = match existing {
            Some(existing) if existing.report.born_ms == report.born_ms => existing.restarted_ms,
            existing => existing.map(|_| now_ms),
        };
        Self {
            cold_until_ms: (now_ms + report.cold_ms).max(suspected_until_ms),
            last_received_ms: now_ms,
            confirmed_from_sequence: suspected
                .and_then(|existing| existing.confirmed_from_sequence),
            was_replaced: false,
            awaits_report: false,
            restarted_ms,
            version_doubt: existing.and_then(|existing| existing.version_doubt_after(&report)),
            report,
        }
    }

    /// Whether a report changes anything that routing decisions depend on.
    pub(crate) fn is_changed_by(&self, report: &FleetWorker, now_ms: u64) -> bool {
        let old = &self.report;
        let was_cold = self.cold_until_ms > now_ms && !self.is_suspected_after(report);
        self.awaits_report
            || old.state != report.state
            || old.born_ms != report.born_ms
            || old.address != report.address
            || old.service != report.service
            || old.version != report.version
            || self.confirmed_from_sequence.is_some() && !self.is_suspected_after(report)
            || (report.cold_ms > 0) != was_cold
            || self.version_doubt.is_some() && self.version_doubt_after(report).is_none()
    }

    /// Doubts that it still has the version of its last report.
    pub(crate) fn doubt_version(&mut self, now_ms: u64) {
        self.version_doubt = Some(VersionDoubt {
            until_ms: now_ms + MAX_VERSION_DOUBT_MS,
            until_sequence: self.report.sequence + REPORTS_TO_CONFIRM_VERSION,
        });
    }

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
    pub(crate) fn serves(&self) -> bool {
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

    pub(crate) fn suspect_cold(&mut self, now_ms: u64) {
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
