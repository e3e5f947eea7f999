//! Comparison of placement policies with the same seeds, and check of the targets.
//!
//! [`run`] loads real hosts with each seed and policy in turn, then performs the runs
//! of [`faults`] with the `anvillift` policy. [`targets`] evaluates the resulting
//! [`Comparison`]; [`report`] and [`plot`] write it as text, JSON and SVG.

pub mod faults;
pub mod flood;
pub mod measures;
pub mod plot;
pub mod progress;
pub mod report;
pub mod targets;

use std::collections::BTreeMap;

use anvillift_routing::policy::Policy;

use self::faults::FaultRuns;
use self::measures::{Measure, Spread};
use self::progress::Progress;
use crate::load::experiment::Experiment;
use crate::load::tally::DurationHistogram;
use crate::trial::outcome::Outcome;
use crate::trial::{self, TrialSettings};

/// Experiment and selection of its runs.
#[derive(Clone, Debug, Default)]
pub struct CompareSettings {
    /// Experiment to run.
    pub experiment: Experiment,
    /// Whether the runs under overload and faults are skipped.
    pub skip_faults: bool,
    /// Whether the runs that compare policies are skipped.
    pub skip_policies: bool,
}

/// Measurements of all runs.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    /// Experiment that was run.
    pub experiment: Experiment,
    /// Outcomes by name of the policy, in order of the seeds; runs that failed are left
    /// out.
    pub outcomes: BTreeMap<String, Vec<Outcome>>,
    /// Runs of the `anvillift` policy under overload and faults.
    pub faults: FaultRuns,
    /// Errors of the runs that failed.
    pub errors: Vec<String>,
    /// Duration of all runs, in seconds.
    pub took_s: u64,
}

impl Comparison {
    /// Spread of a measure of a policy over the seeds; `None` without outcomes.
    pub fn spread(&self, policy: Policy, measure: &Measure) -> Option<Spread> {
        let outcomes = self.outcomes.get(&policy.to_string())?;
        let values =
            outcomes.iter().map(|outcome| (measure.compute)(outcome, &self.experiment)).collect();
        Spread::from_values(values)
    }

    /// Times to the first token of questions with a policy, over all seeds.
    pub fn question_first_tokens(&self, policy: &str) -> DurationHistogram {
        let mut durations = DurationHistogram::default();
        for outcome in self.outcomes.get(policy).into_iter().flatten() {
            durations.merge(&measures::questions(outcome, &self.experiment).first_token);
        }
        durations
    }
}

/// Runs every policy with every seed, then the runs under overload and faults.
///
/// The error of a failed run is recorded, and the remaining runs continue.
pub async fn run(settings: CompareSettings) -> Comparison {
    let experiment = &settings.experiment;
    let policies = if settings.skip_policies { &[][..] } else { &Policy::ALL };
    let runs = policies.len() * experiment.seeds.len();
    let fault_runs = if settings.skip_faults { 0 } else { faults::RUN_COUNT };
    let mut progress = Progress::new(runs + fault_runs);
    let mut errors = Vec::new();
    let mut outcomes: BTreeMap<String, Vec<Outcome>> = BTreeMap::new();
    for (round, seed) in experiment.seeds.iter().enumerate() {
        // Each seed starts with a different policy, so that no policy always runs first.
        for position in 0..policies.len() {
            let policy = policies[(position + round) % policies.len()];
            progress.start_run(&format!("{policy}, seed {seed}"));
            let trial = trial::run(TrialSettings {
                experiment: experiment.clone(),
                policy,
                seed: *seed,
                ..TrialSettings::default()
            });
            match trial.await {
                Ok(outcome) => outcomes.entry(policy.to_string()).or_default().push(outcome),
                Err(error) => errors.push(format!("{policy}, seed {seed}: {error}")),
            }
        }
    }
    let faults = if settings.skip_faults {
        FaultRuns::default()
    } else {
        faults::run(experiment, &mut progress, &mut errors).await
    };
    let took_s = progress.elapsed_s();
    Comparison { experiment: settings.experiment, outcomes, faults, errors, took_s }
}
