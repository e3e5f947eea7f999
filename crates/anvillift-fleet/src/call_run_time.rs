//! How long the workers of a service run a call.
//!
//! The first byte of a call arrives at the end of its run, so a host measures the time at the
//! worker, which includes the wait for a slot. By Little's law it is longer than the run by the
//! factor by which the calls at the workers exceed their slots.

/// Weight of the previous average when an answer took longer than it. A host has some eight answers
/// a second, so the average follows a change within about two seconds.
const KEPT_BY_LONGER: f64 = 0.9;
/// The same when an answer took less. Reports from before a burst or a fault make runs look
/// long, and never short for long: with 0.9, hosts still rejected 2 % of the calls two seconds
/// after an overload with a fault.
const KEPT_BY_SHORTER: f64 = 0.8;

/// Moving average over the recent answers of the workers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallRunTime {
    average_ms: Option<f64>,
}

impl CallRunTime {
    /// Records a call that was answered `first_ms` after it was sent, while `batches` times as
    /// many calls as there are slots were at the workers, or 1 with free slots.
    pub fn record(&mut self, first_ms: u64, batches: f64) {
        let run_ms = first_ms.max(1) as f64 / batches.max(1.0);
        let average_ms = self.average_ms.unwrap_or(run_ms);
        let kept = if run_ms > average_ms { KEPT_BY_LONGER } else { KEPT_BY_SHORTER };
        self.average_ms = Some(average_ms * kept + run_ms * (1.0 - kept));
    }

    /// How long a call runs, in milliseconds; 0 before the first answer.
    pub fn average_ms(&self) -> f64 {
        self.average_ms.unwrap_or_default()
    }
}
