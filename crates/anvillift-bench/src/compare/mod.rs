//! Policies compared on the same seeds, interleaved, and the targets judged.
//!
//! [`run`] drives real hosts for each policy and seed in turn, then the runs
//! with faults for our own policy, and gives a [`Comparison`] that [`report`]
//! and [`plot`] write down.

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
use crate::load::tally::Times;
use crate::trial::outcome::Outcome;
use crate::trial::{self, TrialSettings};

/// What is run.
#[derive(Clone, Debug, Default)]
pub struct CompareSettings {
    /// The experiment.
    pub experiment: Experiment,
    /// Whether the runs with faults are left out.
    pub skip_faults: bool,
    /// Whether the runs of the policies are left out.
    pub skip_policies: bool,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    /// The experiment.
    pub experiment: Experiment,
    /// Outcomes by policy, in order of the seeds.
    pub outcomes: BTreeMap<String, Vec<Outcome>>,
    /// Runs with faults, of our own policy.
    pub faults: FaultRuns,
    /// Runs that could not be carried out, with the cause.
    pub errors: Vec<String>,
    /// How long it all took.
    pub took_s: u64,
}

impl Comparison {
    /// A measure of a policy over the seeds.
    pub fn spread(&self, policy: Policy, measure: &Measure) -> Option<Spread> {
        let outcomes = self.outcomes.get(&policy.to_string())?;
        let values =
            outcomes.iter().map(|outcome| (measure.of)(outcome, &self.experiment)).collect();
        Spread::of(values)
    }

    /// First tokens of questions under a policy, all seeds together.
    pub fn question_times(&self, policy: &str) -> Times {
        let mut times = Times::default();
        for outcome in self.outcomes.get(policy).into_iter().flatten() {
            times.merge(&measures::questions(outcome, &self.experiment).first);
        }
        times
    }
}

/// Runs every policy on every seed, then the runs with faults.
///
/// A run that cannot be carried out is noted, and the others go on.
pub async fn run(settings: CompareSettings) -> Comparison {
    let experiment = &settings.experiment;
    let policies = if settings.skip_policies { &[][..] } else { &Policy::ALL };
    let runs = policies.len() * experiment.seeds.len();
    let fault_runs = if settings.skip_faults { 0 } else { faults::RUNS };
    let mut progress = Progress::new(runs + fault_runs);
    let mut errors = Vec::new();
    let mut outcomes: BTreeMap<String, Vec<Outcome>> = BTreeMap::new();
    for (turn, seed) in experiment.seeds.iter().enumerate() {
        // Each seed begins with another policy, so that none always runs first.
        for position in 0..policies.len() {
            let policy = policies[(position + turn) % policies.len()];
            progress.next(&format!("{policy}, seed {seed}"));
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
    let took_s = progress.finish();
    Comparison { experiment: settings.experiment, outcomes, faults, errors, took_s }
}
