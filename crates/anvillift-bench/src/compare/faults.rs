//! Runs of the `anvillift` policy under overload and faults.

use std::time::Duration;

use super::flood::{self, FloodOutcome};
use super::progress::Progress;
use crate::error::BenchError;
use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::{AnswerStatus, DurationHistogram};
use crate::trial::outcome::{Outcome, Sample};
use crate::trial::{self, Outage, TrialSettings};

/// Number of runs in [`run`], for the progress display.
pub const RUN_COUNT: usize = 5;

const CAPACITY_MILLI: u64 = 1000;
const TWICE_CAPACITY_MILLI: u64 = 2000;
const FAULT_LOAD_MILLI: u64 = 600;
const FAILING_ENGINES_MILLI: u32 = 300;
const CRASH_AFTER_S: u64 = 12;
const RESTART_AFTER_S: u64 = 20;
/// Duration of the load after the engines of a region are restarted.
const RECOVERY_LOAD_S: u64 = 40;
/// Time after the restart within which the first-token target has to be met again.
const RECOVERY_LIMIT_S: u64 = 30;
const WINDOW_S: u64 = 5;

/// Measurements of the runs under overload and faults; `None` for a run that failed
/// or was skipped.
#[derive(Clone, Debug, Default)]
pub struct FaultRuns {
    /// Load equal to the capacity of the workers.
    pub at_capacity: Option<Outcome>,
    /// Load of twice the capacity of the workers.
    pub at_twice_capacity: Option<Outcome>,
    /// Load below capacity, with a share of the engines failing every request.
    pub failing: Option<Outcome>,
    /// Latency of questions in windows after the engines of a region are restarted; empty
    /// when the run failed or was skipped.
    pub after_restart: Vec<Window>,
    /// Load with one team far above its limit.
    pub flood: Option<FloodOutcome>,
}

/// Questions whose planned send time is in a window of time.
#[derive(Clone, Debug)]
pub struct Window {
    /// Start of the window, in seconds after the new engines started.
    pub from_s: u64,
    /// 95th percentile of the time to the first token.
    ///
    /// Requests without a complete answer count with the largest duration.
    pub first_token_p95_ms: f64,
    /// Number of questions without a complete answer.
    pub unanswered: u64,
    /// Number of questions sent.
    pub sent: u64,
}

/// Performs the runs one after another; the error of a run that fails is added to
/// `errors`.
pub async fn run(
    experiment: &Experiment,
    progress: &mut Progress,
    errors: &mut Vec<String>,
) -> FaultRuns {
    let seed = experiment.seeds[0];
    let at_load = |load_milli| TrialSettings {
        experiment: Experiment { load_milli, ..experiment.clone() },
        seed,
        ..TrialSettings::default()
    };
    let mut report_progress = |description: &str| progress.start_run(description);
    report_progress("at capacity");
    let at_capacity = trial::run(at_load(CAPACITY_MILLI)).await;
    report_progress("at twice the capacity");
    let at_twice_capacity = trial::run(at_load(TWICE_CAPACITY_MILLI)).await;
    report_progress("30 % of workers failing");
    let failing =
        TrialSettings { failing_milli: FAILING_ENGINES_MILLI, ..at_load(FAULT_LOAD_MILLI) };
    let failing = trial::run(failing).await;
    report_progress("a region's engines restart with cold caches");
    let after_restart = run_region_outage(experiment, seed).await;
    report_progress("one team exceeds its limit");
    let flood = flood::run(experiment, seed).await;
    FaultRuns {
        at_capacity: ok_or_record(at_capacity, errors),
        at_twice_capacity: ok_or_record(at_twice_capacity, errors),
        failing: ok_or_record(failing, errors),
        after_restart: ok_or_record(after_restart, errors).unwrap_or_default(),
        flood: ok_or_record(flood, errors),
    }
}

fn ok_or_record<T>(result: Result<T, BenchError>, errors: &mut Vec<String>) -> Option<T> {
    result.map_err(|error| errors.push(error.to_string())).ok()
}

async fn run_region_outage(experiment: &Experiment, seed: u64) -> Result<Vec<Window>, BenchError> {
    let outage = Outage {
        region: experiment.regions[0].name.clone(),
        crash_after: Duration::from_secs(CRASH_AFTER_S),
        restart_after: Duration::from_secs(RESTART_AFTER_S),
    };
    let experiment = Experiment {
        load_milli: FAULT_LOAD_MILLI,
        warm_up_s: RESTART_AFTER_S,
        duration_s: RECOVERY_LOAD_S,
        ..experiment.clone()
    };
    let outcome = trial::run(TrialSettings {
        experiment: experiment.clone(),
        seed,
        outage: Some(outage),
        ..TrialSettings::default()
    })
    .await?;
    let starts = (0..RECOVERY_LOAD_S).step_by(WINDOW_S as usize);
    Ok(starts.map(|from_s| window(&experiment, &outcome, from_s)).collect())
}

fn window(experiment: &Experiment, outcome: &Outcome, from_s: u64) -> Window {
    let from = Duration::from_secs(RESTART_AFTER_S + from_s);
    let range = from..from + Duration::from_secs(WINDOW_S);
    let is_question = |sample: &&Sample| {
        experiment
            .classes
            .iter()
            .any(|class| class.kind == ClassKind::Question && class.name == sample.class)
    };
    let questions = outcome.samples.iter().filter(|sample| range.contains(&sample.at));
    let questions: Vec<&Sample> = questions.filter(is_question).collect();
    let mut durations = DurationHistogram::default();
    let mut unanswered = 0;
    for question in &questions {
        if question.status == AnswerStatus::Complete {
            durations.add(question.first_token_us);
        } else {
            unanswered += 1;
            durations.add(u64::MAX);
        }
    }
    let sent = questions.len() as u64;
    Window { from_s, first_token_p95_ms: durations.percentile_ms(95.0), unanswered, sent }
}

/// Returns whether the region recovers in time and stays recovered.
///
/// The last window above `target_ms` has to end within `RECOVERY_LIMIT_S`.
pub fn has_recovered(windows: &[Window], target_ms: f64) -> bool {
    let last_missed = windows.iter().rev().find(|window| window.first_token_p95_ms > target_ms);
    last_missed.is_none_or(|window| window.from_s + WINDOW_S <= RECOVERY_LIMIT_S)
}
