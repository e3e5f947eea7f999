//! A progress line on standard error.

use std::io::{self, Write};
use std::time::Instant;

/// Tells which of several runs is under way.
pub struct Progress {
    started: Instant,
    runs: usize,
    begun: usize,
}

impl Progress {
    /// Nothing has begun.
    pub fn new(runs: usize) -> Self {
        Self { started: Instant::now(), runs, begun: 0 }
    }

    /// The next run begins.
    pub fn next(&mut self, what: &str) {
        let so_far_s = self.started.elapsed().as_secs();
        let left = self.runs.saturating_sub(self.begun) as u64;
        let estimate = match so_far_s.checked_div(self.begun as u64) {
            Some(each_s) => format!("about {} s left", each_s * left),
            None => "first run".to_owned(),
        };
        self.begun += 1;
        let line = format!(
            "run {} of {}: {what} ({so_far_s} s so far, {estimate})",
            self.begun, self.runs
        );
        let _ = writeln!(io::stderr(), "{line}");
    }

    /// All runs are over; gives how long they took, in seconds.
    pub fn finish(&self) -> u64 {
        self.started.elapsed().as_secs()
    }
}
