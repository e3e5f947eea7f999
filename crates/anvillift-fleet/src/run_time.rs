//! How long the workers of a service run a request once they have begun to answer it.
//!
//! With the slots of a worker it tells how soon a slot gets free for a request that waits.

/// Share of the average that is kept at each answer, so that old answers fade.
const KEPT_SHARE: f64 = 0.98;

/// Recent answers of the workers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTime {
    /// Moving average, in milliseconds; `None` before the first answer.
    average_ms: Option<f64>,
}

impl RunTime {
    /// Records a complete answer that took `run_ms` from its first to its last byte.
    pub fn record(&mut self, run_ms: u64) {
        let run_ms = run_ms as f64;
        let average_ms = self.average_ms.unwrap_or(run_ms);
        self.average_ms = Some(average_ms * KEPT_SHARE + run_ms * (1.0 - KEPT_SHARE));
    }

    /// Time until a worker with `slots` slots begins a request that is sent to it now, in
    /// milliseconds, while `requests` others run or wait there.
    pub fn wait_ms(&self, requests: f64, slots: u64) -> f64 {
        let waiting = (requests - slots as f64).max(0.0);
        waiting * self.average_ms.unwrap_or_default() / slots.max(1) as f64
    }
}
