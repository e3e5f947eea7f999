//! The load of the workers of a region, as the limit of calls sees it.

/// Calls in flight at the workers of a region, over all hosts, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedCalls {
    /// Calls that run or wait at the workers.
    pub calls: f64,
    /// When this host received the report, in milliseconds.
    pub received_ms: u64,
}

/// What a host knows of the workers of its region that answer, when it decides about a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLoad {
    /// Calls of this host in flight, without those that are overdue.
    pub in_flight: u64,
    /// Calls of this host that have been in flight for longer than their target latency. Most of
    /// them are at workers that have gone silent, and take no slot.
    pub overdue: u64,
    /// This host's share of the callers of the region, between 0 and 1.
    pub share: f64,
    /// Calls that the workers run at once.
    pub slots: f64,
    /// Calls of all hosts; `None` without a recent report.
    pub reported: Option<ReportedCalls>,
    /// How long a worker runs a call, in milliseconds; 0 if it is not known yet.
    pub run_ms: f64,
    /// Target latency of the calls, in milliseconds; 0 if they have none.
    pub target_ms: u64,
}

impl CallLoad {
    /// Calls of all hosts that run or wait. The other hosts are taken to have as many overdue
    /// calls as this one, and without a report as many calls.
    pub fn calls(&self) -> f64 {
        let own = self.in_flight as f64;
        let Some(reported) = self.reported else { return own / self.share };
        (reported.calls - self.overdue as f64 / self.share).max(own)
    }

    /// Those calls as a multiple of the slots, at least 1.
    pub fn batches(&self) -> f64 {
        (self.calls() / self.slots.max(1.0)).max(1.0)
    }
}
