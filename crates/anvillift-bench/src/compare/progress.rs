//! Progress display on standard error, one line for each run.

use std::io::{self, Write};
use std::time::Instant;

/// Counter of runs that estimates the remaining time.
pub struct Progress {
    started_at: Instant,
    runs: usize,
    started_runs: usize,
}

impl Progress {
    /// Creates the counter of `runs` runs and starts measuring their total time.
    pub fn new(runs: usize) -> Self {
        Self { started_at: Instant::now(), runs, started_runs: 0 }
    }

    /// Prints a line for the next run, described by `description`.
    pub fn start_run(&mut self, description: &str) {
        let elapsed_s = self.started_at.elapsed().as_secs();
        let remaining_runs = self.runs.saturating_sub(self.started_runs) as u64;
        let estimate = match elapsed_s.checked_div(self.started_runs as u64) {
            Some(mean_run_s) => format!("about {} s left", mean_run_s * remaining_runs),
            None => "first run".to_owned(),
        };
        self.started_runs += 1;
        let line = format!(
            "run {} of {}: {description} ({elapsed_s} s so far, {estimate})",
            self.started_runs, self.runs
        );
        let _ = writeln!(io::stderr(), "{line}");
    }

    /// Returns the time since [`Progress::new`], in seconds.
    pub fn elapsed_s(&self) -> u64 {
        self.started_at.elapsed().as_secs()
    }
}
