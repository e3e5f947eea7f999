//! How long the workers of a service run a request once they have begun to answer it.
//!
//! A concurrency limit derives from it how many requests may wait for a slot.

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

    /// How long a request runs, in milliseconds; 0 before the first answer.
    pub fn average_ms(&self) -> f64 {
        self.average_ms.unwrap_or_default()
    }
}
