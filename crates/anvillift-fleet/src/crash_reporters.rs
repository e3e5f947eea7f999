//! Which hosts report a crash of a worker, and whether that is credible.
//!
//! A host that is cut off from the workers takes them for crashed. It reports many at once, and no
//! other host does.

use anvillift_schema::name::Name;

/// Time within which reports are compared, in milliseconds.
const COMPARED_MS: u64 = 2_000;
/// Workers that one host may report in that time and be believed alone.
const MAX_WORKERS_ALONE: usize = 2;

#[derive(Clone, Debug)]
struct CrashReport {
    at_ms: u64,
    host: Name,
    worker: Name,
}

/// The reports of the last [`COMPARED_MS`].
#[derive(Clone, Debug, Default)]
pub struct CrashReporters {
    reports: Vec<CrashReport>,
}

impl CrashReporters {
    /// Records that a host reports the crash of a worker. Returns whether it is credible: the host
    /// has reported few, or another one reports the same.
    pub fn record(&mut self, now_ms: u64, host: &Name, worker: &Name) -> bool {
        self.reports.retain(|report| report.at_ms + COMPARED_MS > now_ms);
        let is_known =
            self.reports.iter().any(|report| report.host == *host && report.worker == *worker);
        if !is_known {
            let report = CrashReport { at_ms: now_ms, host: host.clone(), worker: worker.clone() };
            self.reports.push(report);
        }
        let is_confirmed =
            self.reports.iter().any(|report| report.host != *host && report.worker == *worker);
        let of_host = self.reports.iter().filter(|report| report.host == *host).count();
        is_confirmed || of_host <= MAX_WORKERS_ALONE
    }
}
