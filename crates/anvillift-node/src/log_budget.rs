//! Bounds the number of log lines of one kind.

use std::cell::Cell;

const SECOND_MS: u64 = 1_000;

/// Lines that may be logged within a second.
#[derive(Debug)]
pub(crate) struct LogBudget {
    lines_per_s: u32,
    second_began_ms: Cell<u64>,
    lines: Cell<u32>,
    omitted: Cell<u64>,
}

impl LogBudget {
    pub(crate) fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            second_began_ms: Cell::new(0),
            lines: Cell::new(0),
            omitted: Cell::new(0),
        }
    }

    /// Whether a line may be logged now. If so, returns how many were omitted since the last
    /// one.
    pub(crate) fn take(&self, now_ms: u64) -> Option<u64> {
        if now_ms >= self.second_began_ms.get() + SECOND_MS {
            self.second_began_ms.set(now_ms);
            self.lines.set(0);
        }
        if self.lines.get() >= self.lines_per_s {
            self.omitted.set(self.omitted.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.omitted.replace(0))
    }
}
