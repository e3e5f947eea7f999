//! Runs of our own policy under overload and faults.

use std::time::Duration;

use super::flood::{self, FloodOutcome};
use super::progress::Progress;
use crate::error::BenchError;
use crate::load::experiment::{ClassKind, Experiment};
use crate::load::tally::{Ending, Times};
use crate::trial::outcome::{Outcome, Sample};
use crate::trial::{self, Outage, TrialSettings};

/// Runs with faults.
pub const RUNS: usize = 5;

const CAPACITY_MILLI: u64 = 1000;
const TWICE_CAPACITY_MILLI: u64 = 2000;
const FAULT_LOAD_MILLI: u64 = 600;
const FAILING_MILLI: u32 = 300;
const CRASH_AFTER_S: u64 = 12;
const RETURN_AFTER_S: u64 = 20;
/// Load goes on for this long after a region's return.
const WATCH_S: u64 = 40;
/// The objective has to be met again within this time.
const BACK_WITHIN_S: u64 = 30;
const WINDOW_S: u64 = 5;

/// What the runs with faults measured.
#[derive(Clone, Debug, Default)]
pub struct FaultRuns {
    /// At capacity.
    pub at_capacity: Option<Outcome>,
    /// At twice the capacity.
    pub at_twice: Option<Outcome>,
    /// With some workers failing every request.
    pub failing: Option<Outcome>,
    /// First tokens of questions in windows after a region's return.
    pub after_return: Vec<Window>,
    /// With a team that floods.
    pub flood: Option<FloodOutcome>,
}

/// Questions planned in a window of time.
#[derive(Clone, Debug)]
pub struct Window {
    /// Start, in seconds after the return.
    pub from_s: u64,
    /// 95th percentile of first tokens; refused and failed requests count as never answered.
    pub first_p95_ms: f64,
    /// Questions not answered.
    pub unanswered: u64,
    /// Questions asked.
    pub asked: u64,
}

/// Runs all; what cannot be carried out is added to `errors`.
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
    let mut begin = |what: &str| progress.next(what);
    begin("at capacity");
    let at_capacity = trial::run(at_load(CAPACITY_MILLI)).await;
    begin("at twice the capacity");
    let at_twice = trial::run(at_load(TWICE_CAPACITY_MILLI)).await;
    begin("30 % of workers failing");
    let failing = TrialSettings { failing_milli: FAILING_MILLI, ..at_load(FAULT_LOAD_MILLI) };
    let failing = trial::run(failing).await;
    begin("a region's return with cold caches");
    let after_return = region_return(experiment, seed).await;
    begin("a team floods");
    let flood = flood::run(experiment, seed).await;
    FaultRuns {
        at_capacity: noted(at_capacity, errors),
        at_twice: noted(at_twice, errors),
        failing: noted(failing, errors),
        after_return: noted(after_return, errors).unwrap_or_default(),
        flood: noted(flood, errors),
    }
}

fn noted<T>(result: Result<T, BenchError>, errors: &mut Vec<String>) -> Option<T> {
    result.map_err(|error| errors.push(error.to_string())).ok()
}

async fn region_return(experiment: &Experiment, seed: u64) -> Result<Vec<Window>, BenchError> {
    let outage = Outage {
        region: experiment.regions[0].name.clone(),
        crash_after: Duration::from_secs(CRASH_AFTER_S),
        return_after: Duration::from_secs(RETURN_AFTER_S),
    };
    let experiment = Experiment {
        load_milli: FAULT_LOAD_MILLI,
        warm_up_s: RETURN_AFTER_S,
        duration_s: WATCH_S,
        ..experiment.clone()
    };
    let outcome = trial::run(TrialSettings {
        experiment: experiment.clone(),
        seed,
        outage: Some(outage),
        ..TrialSettings::default()
    })
    .await?;
    let starts = (0..WATCH_S).step_by(WINDOW_S as usize);
    Ok(starts.map(|from_s| window(&experiment, &outcome, from_s)).collect())
}

fn window(experiment: &Experiment, outcome: &Outcome, from_s: u64) -> Window {
    let from = Duration::from_secs(RETURN_AFTER_S + from_s);
    let range = from..from + Duration::from_secs(WINDOW_S);
    let is_question = |sample: &&Sample| {
        experiment
            .classes
            .iter()
            .any(|class| class.kind == ClassKind::Question && class.name == sample.class)
    };
    let questions = outcome.samples.iter().filter(|sample| range.contains(&sample.at));
    let questions: Vec<&Sample> = questions.filter(is_question).collect();
    let mut times = Times::default();
    let mut unanswered = 0;
    for question in &questions {
        if question.ending == Ending::Whole {
            times.add(question.first_us);
        } else {
            unanswered += 1;
            times.add(u64::MAX);
        }
    }
    let asked = questions.len() as u64;
    Window { from_s, first_p95_ms: times.percentile_ms(95.0), unanswered, asked }
}

/// Whether the objective is met from some window on that begins in time.
pub fn is_back(windows: &[Window], target_ms: f64) -> bool {
    let last_bad = windows.iter().rev().find(|window| window.first_p95_ms > target_ms);
    last_bad.is_none_or(|window| window.from_s + WINDOW_S <= BACK_WITHIN_S)
}
