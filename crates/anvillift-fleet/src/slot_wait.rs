//! How long a request waits for a slot at the workers of a region, compared with the time that is
//! left to it.
//!
//! A request that can't begin before its caller has left takes a slot from one that can.

/// What is known of the wait of a request that is sent to a worker now.
#[derive(Clone, Copy, Debug)]
pub struct SlotWait {
    /// Requests of all hosts that run or wait at the workers; `None` without a recent report.
    pub requests: Option<f64>,
    /// Requests that the workers run at once.
    pub slots: f64,
    /// How long a request takes a slot, in milliseconds; 0 if it is not known yet.
    pub run_ms: f64,
}

impl SlotWait {
    /// Time until a slot is free, in milliseconds; 0 with free slots, and where it is not known.
    pub fn wait_ms(&self) -> f64 {
        let Some(requests) = self.requests else { return 0.0 };
        let slots = self.slots.max(1.0);
        (requests + 1.0 - slots).max(0.0) / slots * self.run_ms
    }
}

/// Whether a request whose deadline is in `remaining_ms` can't begin before it.
pub fn is_too_late(remaining_ms: u64, wait_ms: f64) -> bool {
    remaining_ms == 0 || wait_ms > remaining_ms as f64
}
