//! Aggregates request log lines by second, route and worker.

use std::collections::BTreeMap;

use super::line::{RequestEvent, RequestLogLine};
use super::report::{
    DurationPercentiles, RequestLogReport, RouteReport, SecondReport, WorkerReport,
};

const MS_PER_SECOND: u64 = 1_000;

#[derive(Clone, Debug, Default)]
struct RouteCounts {
    report: RouteReport,
    first_ms: Vec<u64>,
    pause_ms: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct SecondCounts {
    report: SecondReport,
    first_ms: Vec<u64>,
}

/// Aggregates the log lines of entry hosts into a [`RequestLogReport`]. It keeps the durations of
/// every answer, so its memory grows with the number of lines.
#[derive(Clone, Debug, Default)]
pub struct RequestLogAggregator {
    lines: u64,
    other_lines: u64,
    /// By seconds since the Unix epoch.
    seconds: BTreeMap<u64, SecondCounts>,
    began_ms: Option<u64>,
    routes: BTreeMap<String, RouteCounts>,
    workers: BTreeMap<String, WorkerReport>,
}

impl RequestLogAggregator {
    /// Adds a log line. Lines that do not report on a request are only counted; blank ones are
    /// ignored.
    pub fn add(&mut self, text: &str) {
        let Some(line) = RequestLogLine::parse(text) else {
            self.other_lines += u64::from(!text.trim().is_empty());
            return;
        };
        self.lines += 1;
        self.began_ms = Some(self.began_ms.map_or(line.time_ms, |ms| ms.min(line.time_ms)));
        let second = self.seconds.entry(line.time_ms / MS_PER_SECOND).or_default();
        let route = self.routes.entry(line.route).or_default();
        match line.event {
            RequestEvent::AttemptEnded { to, chosen, outcome } => {
                let worker = self.workers.entry(to).or_default();
                worker.attempts += 1;
                *worker.outcomes.entry(outcome).or_default() += 1;
                *worker.chosen.entry(chosen).or_default() += 1;
            }
            RequestEvent::RequestAbandoned { code, is_from_caller } => {
                if is_from_caller {
                    second.report.given_up += 1;
                    *route.report.given_up.entry(code).or_default() += 1;
                }
            }
            RequestEvent::AnswerEnded { outcome, status, first_ms, pause_ms } => {
                let is_complete = outcome == "complete";
                second.report.complete += u64::from(is_complete);
                second.report.broken += u64::from(!is_complete);
                second.first_ms.push(first_ms);
                route.report.failures += u64::from(status >= 500);
                *route.report.answers.entry(outcome).or_default() += 1;
                route.first_ms.push(first_ms);
                route.pause_ms.push(pause_ms);
            }
        }
    }

    /// Returns the report on all added lines.
    pub fn report(self) -> RequestLogReport {
        let began_ms = self.began_ms.unwrap_or(0);
        let first_second = began_ms / MS_PER_SECOND;
        let second = |(second, counts): (u64, SecondCounts)| {
            let first = percentiles(counts.first_ms);
            (second - first_second, SecondReport { first, ..counts.report })
        };
        let route = |(name, counts): (String, RouteCounts)| {
            let (first, pause) = (percentiles(counts.first_ms), percentiles(counts.pause_ms));
            (name, RouteReport { first, pause, ..counts.report })
        };
        RequestLogReport {
            began_ms,
            lines: self.lines,
            other_lines: self.other_lines,
            seconds: self.seconds.into_iter().map(second).collect(),
            routes: self.routes.into_iter().map(route).collect(),
            workers: self.workers,
        }
    }
}

fn percentiles(mut durations_ms: Vec<u64>) -> DurationPercentiles {
    durations_ms.sort_unstable();
    let percentile =
        |percent: usize| durations_ms.get(durations_ms.len() * percent / 100).copied().unwrap_or(0);
    DurationPercentiles { p50_ms: percentile(50), p99_ms: percentile(99) }
}
