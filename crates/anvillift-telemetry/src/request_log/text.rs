//! Renders a request log report as text tables.

use std::collections::BTreeMap;
use std::fmt;

use super::report::{RequestLogReport, WorkerReport};

/// Largest number of workers in the table, which lists those with the most unanswered attempts
/// first.
const SHOWN_WORKERS: usize = 12;

impl fmt::Display for RequestLogReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} lines report on requests, {} do not", self.lines, self.other_lines)?;
        self.write_routes(f)?;
        self.write_seconds(f)?;
        self.write_workers(f)
    }
}

impl RequestLogReport {
    fn write_routes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<20} {:>8} {:>8} {:>8} {:>8} {:>8}  other ends; given up by code",
            "route", "whole", "failed", "p50 ms", "p99 ms", "pause99"
        )?;
        for (name, route) in &self.routes {
            let mut others = route.answers.clone();
            let complete = others.remove("complete").unwrap_or(0);
            writeln!(
                f,
                "{:<20} {complete:>8} {:>8} {:>8} {:>8} {:>8}  {}; {}",
                if name.is_empty() { "(none)" } else { name },
                route.failures,
                route.first.p50_ms,
                route.first.p99_ms,
                route.pause.p99_ms,
                format_counts(&others),
                format_counts(&route.given_up),
            )?;
        }
        Ok(())
    }

    fn write_seconds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "second", "whole", "broken", "given up", "p50 ms", "p99 ms"
        )?;
        for (second, report) in &self.seconds {
            writeln!(
                f,
                "{second:<8} {:>8} {:>8} {:>8} {:>8} {:>8}",
                report.complete,
                report.broken,
                report.given_up,
                report.first.p50_ms,
                report.first.p99_ms,
            )?;
        }
        Ok(())
    }

    fn write_workers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<24} {:>8}  attempts by outcome; by choice",
            "worker or host", "attempts"
        )?;
        let mut workers: Vec<(&String, &WorkerReport)> = self.workers.iter().collect();
        workers.sort_by_key(|(_, worker)| std::cmp::Reverse(unanswered_attempts(worker)));
        for (name, worker) in workers.iter().take(SHOWN_WORKERS) {
            let (outcomes, chosen) =
                (format_counts(&worker.outcomes), format_counts(&worker.chosen));
            writeln!(f, "{name:<24} {:>8}  {outcomes}; {chosen}", worker.attempts)?;
        }
        let more = workers.len().saturating_sub(SHOWN_WORKERS);
        if more > 0 {
            writeln!(f, "and {more} more with fewer attempts that were not answered")?;
        }
        Ok(())
    }
}

fn unanswered_attempts(worker: &WorkerReport) -> u64 {
    worker.attempts - worker.outcomes.get("answered").copied().unwrap_or(0)
}

fn format_counts<K: fmt::Display>(counts: &BTreeMap<K, u64>) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let each: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    each.join(", ")
}
