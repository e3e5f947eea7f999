//! The monotonic clock of the process.

use std::time::{Duration, Instant};

/// Time before the start of the process that ages may reach back to.
const START_MS: u64 = 24 * 60 * 60 * 1000;

/// Milliseconds of the monotonic clock, which runs on while the process is stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        START_MS + self.started.elapsed().as_millis() as u64
    }

    /// Time since the start of the process, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The instant of a time in milliseconds.
    pub(crate) fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let since = Duration::from_millis(at_ms.saturating_sub(START_MS));
        tokio::time::Instant::from_std(self.started + since)
    }
}
