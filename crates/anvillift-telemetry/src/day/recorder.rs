//! Takes the lines of a day.

use std::collections::BTreeMap;

use super::line::{Line, Told};
use super::report::{DayReport, RouteReport, SecondReport, Times, WorkerReport};

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

/// Takes the lines of a day.
#[derive(Clone, Debug, Default)]
pub struct DayRecorder {
    lines: u64,
    other_lines: u64,
    /// By seconds since the epoch.
    seconds: BTreeMap<u64, SecondCounts>,
    began_ms: Option<u64>,
    routes: BTreeMap<String, RouteCounts>,
    workers: BTreeMap<String, WorkerReport>,
}

impl DayRecorder {
    /// Takes a line.
    pub fn add(&mut self, text: &str) {
        let Some(line) = Line::read(text) else {
            self.other_lines += u64::from(!text.trim().is_empty());
            return;
        };
        self.lines += 1;
        self.began_ms = Some(self.began_ms.map_or(line.time_ms, |ms| ms.min(line.time_ms)));
        let second = self.seconds.entry(line.time_ms / MS_PER_SECOND).or_default();
        let route = self.routes.entry(line.route).or_default();
        match line.told {
            Told::Attempt { to, chosen, outcome } => {
                let worker = self.workers.entry(to).or_default();
                worker.attempts += 1;
                *worker.outcomes.entry(outcome).or_default() += 1;
                *worker.chosen.entry(chosen).or_default() += 1;
            }
            Told::GivenUp { code, is_callers } => {
                if is_callers {
                    second.report.given_up += 1;
                    *route.report.given_up.entry(code).or_default() += 1;
                }
            }
            Told::Ended { outcome, status, first_ms, pause_ms } => {
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

    /// The report of what was taken.
    pub fn report(self) -> DayReport {
        let began_ms = self.began_ms.unwrap_or(0);
        let first_second = began_ms / MS_PER_SECOND;
        let second = |(second, counts): (u64, SecondCounts)| {
            let first = times(counts.first_ms);
            (second - first_second, SecondReport { first, ..counts.report })
        };
        let route = |(name, counts): (String, RouteCounts)| {
            let (first, pause) = (times(counts.first_ms), times(counts.pause_ms));
            (name, RouteReport { first, pause, ..counts.report })
        };
        DayReport {
            began_ms,
            lines: self.lines,
            other_lines: self.other_lines,
            seconds: self.seconds.into_iter().map(second).collect(),
            routes: self.routes.into_iter().map(route).collect(),
            workers: self.workers,
        }
    }
}

fn times(mut all_ms: Vec<u64>) -> Times {
    all_ms.sort_unstable();
    let at = |share: usize| all_ms.get(all_ms.len() * share / 100).copied().unwrap_or(0);
    Times { p50_ms: at(50), p99_ms: at(99) }
}
