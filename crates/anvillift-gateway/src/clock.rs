//! The monotonic clock of the process.

use std::time::{Duration, Instant};

/// Clock value at the start of the process. It is not zero, so that subtracting an age of up to a
/// day does not underflow.
const CLOCK_AT_START_MS: u64 = 24 * 60 * 60 * 1000;

/// Monotonic clock in milliseconds. It keeps running while the process is stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        CLOCK_AT_START_MS + self.started.elapsed().as_millis() as u64
    }

    /// Time since the start of the process, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub(crate) fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let since_start = Duration::from_millis(at_ms.saturating_sub(CLOCK_AT_START_MS));
        tokio::time::Instant::from_std(self.started + since_start)
    }
}
