//! One run of an experiment against real hosts.
//!
//! A [`stage::Stage`] holds the hosts and stand-ins of a run; [`run`] loads it
//! and gives what was measured as an [`outcome::Outcome`].

pub mod outcome;
pub mod stage;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvillift_routing::policy::Policy;
use anvillift_schema::name::Name;
use tokio::time;

use self::outcome::{Outcome, Sample};
use self::stage::{Stage, StageSettings};
use crate::error::BenchError;
use crate::fleet::keys;
use crate::load::caller::Caller;
use crate::load::drive::{self, DriveSettings, OnSeen};
use crate::load::experiment::Experiment;
use crate::load::plan;

/// Settings of a run.
#[derive(Clone, Debug, Default)]
pub struct TrialSettings {
    /// What is run.
    pub experiment: Experiment,
    /// How requests are placed.
    pub policy: Policy,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Share of engines that fail every request, in thousandths.
    pub failing_milli: u32,
    /// Region that loses its engines, and when it does and gets new ones.
    pub outage: Option<Outage>,
}

/// A region loses its engines and gets new ones with cold caches.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Region.
    pub region: Name,
    /// Engines crash this long after the start of the load.
    pub crash_after: Duration,
    /// New engines start this long after the start of the load.
    pub return_after: Duration,
}

/// Runs an experiment once.
pub async fn run(settings: TrialSettings) -> Result<Outcome, BenchError> {
    let mut stage = Stage::start(StageSettings {
        experiment: settings.experiment.clone(),
        policy: settings.policy,
        failing_milli: settings.failing_milli,
        ..StageSettings::default()
    })
    .await?;
    let experiment = &settings.experiment;
    let samples = Arc::new(Mutex::new(Vec::new()));
    let drive = drive_settings(&stage, experiment, collect(&samples))?;
    let arrivals = plan::arrivals(experiment, settings.seed);
    let load = tokio::spawn(drive::drive(drive, arrivals));
    let warm_up = Duration::from_secs(experiment.warm_up_s);
    let before = match &settings.outage {
        None => {
            time::sleep(warm_up).await;
            stage.totals()
        }
        Some(outage) => {
            let before = stage.totals();
            stage.suffer(outage).await?;
            before
        }
    };
    let tally = load.await.unwrap_or_default();
    let totals = stage.totals().since(&before);
    stage.stop().await;
    let samples = std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(Outcome { tally, totals, samples, duration_s: experiment.duration_s })
}

/// How a plan is sent to the hosts of a stage.
pub fn drive_settings(
    stage: &Stage,
    experiment: &Experiment,
    on_seen: OnSeen,
) -> Result<DriveSettings, BenchError> {
    let targets = experiment
        .services
        .iter()
        .map(|service| (service.name.clone(), service.profile.first_token_target_ms));
    Ok(DriveSettings {
        hosts: stage.fleet().layout().urls_by_region(),
        caller: Caller::new(keys::CALLER_KEY)?,
        warm_up: Duration::from_secs(experiment.warm_up_s),
        first_token_target_ms: targets.collect::<BTreeMap<_, _>>(),
        on_seen,
    })
}

fn collect(samples: &Arc<Mutex<Vec<Sample>>>) -> OnSeen {
    let samples = Arc::clone(samples);
    Box::new(move |arrival, seen| {
        let sample = Sample {
            at: arrival.at,
            region: arrival.region.clone(),
            class: arrival.class.clone(),
            ending: seen.ending,
            first_us: seen.first_us,
        };
        samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
    })
}
