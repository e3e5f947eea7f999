//! Single run of an experiment against real hosts.
//!
//! [`run`] starts the hosts and stand-ins as a [`testbed::Testbed`], sends the plan
//! of requests to it, and returns the measurements as an [`outcome::Outcome`].

pub mod outcome;
pub mod testbed;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvillift_routing::policy::Policy;
use anvillift_schema::name::Name;
use tokio::time;

use self::outcome::{Outcome, Sample};
use self::testbed::{Testbed, TestbedSettings};
use crate::error::BenchError;
use crate::fleet::keys;
use crate::load::caller::Caller;
use crate::load::drive::{self, DriveSettings, OnAnswer};
use crate::load::experiment::Experiment;
use crate::load::plan;

/// Experiment, policy, seed and simulated faults of a run.
#[derive(Clone, Debug, Default)]
pub struct TrialSettings {
    /// Experiment to run.
    pub experiment: Experiment,
    /// Policy by which hosts place requests.
    pub policy: Policy,
    /// Seed of the plan of requests.
    pub seed: u64,
    /// Share of engines that fail every request, in thousandths.
    pub failing_milli: u32,
    /// Simulated outage of a region's engines; `None` for a run without outage.
    pub outage: Option<Outage>,
}

/// Outage in which a region loses all engines and later gets new ones with cold
/// caches.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Name of the region.
    pub region: Name,
    /// Time of the crash of the engines, from the start of the load.
    pub crash_after: Duration,
    /// Time of the start of the new engines, from the start of the load.
    pub restart_after: Duration,
}

/// Runs an experiment once.
///
/// Engine counters include the warm-up when there is an outage.
///
/// Fails when hosts or stand-ins do not start.
pub async fn run(settings: TrialSettings) -> Result<Outcome, BenchError> {
    let mut testbed = Testbed::start(TestbedSettings {
        experiment: settings.experiment.clone(),
        policy: settings.policy,
        failing_milli: settings.failing_milli,
        ..TestbedSettings::default()
    })
    .await?;
    let experiment = &settings.experiment;
    let samples = Arc::new(Mutex::new(Vec::new()));
    let drive = drive_settings(&testbed, experiment, sample_collector(&samples))?;
    let arrivals = plan::arrivals(experiment, settings.seed);
    let load = tokio::spawn(drive::drive(drive, arrivals));
    let warm_up = Duration::from_secs(experiment.warm_up_s);
    let before = match &settings.outage {
        None => {
            time::sleep(warm_up).await;
            testbed.totals()
        }
        Some(outage) => {
            let before = testbed.totals();
            testbed.simulate_outage(outage).await?;
            before
        }
    };
    let tally = load.await.unwrap_or_default();
    let totals = testbed.totals().since(&before);
    testbed.stop().await;
    let samples = std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(Outcome { tally, totals, samples, duration_s: experiment.duration_s })
}

/// Settings with which a plan is sent to the hosts of a testbed, with the key of the
/// ordinary callers' team.
pub fn drive_settings(
    testbed: &Testbed,
    experiment: &Experiment,
    on_answer: OnAnswer,
) -> Result<DriveSettings, BenchError> {
    let targets = experiment
        .services
        .iter()
        .map(|service| (service.name.clone(), service.profile.first_token_target_ms));
    Ok(DriveSettings {
        hosts: testbed.fleet().layout().urls_by_region(),
        caller: Caller::new(keys::CALLER_KEY)?,
        warm_up: Duration::from_secs(experiment.warm_up_s),
        first_token_target_ms: targets.collect::<BTreeMap<_, _>>(),
        on_answer,
    })
}

fn sample_collector(samples: &Arc<Mutex<Vec<Sample>>>) -> OnAnswer {
    let samples = Arc::clone(samples);
    Box::new(move |arrival, record| {
        let sample = Sample {
            at: arrival.at,
            region: arrival.region.clone(),
            class: arrival.class.clone(),
            status: record.status,
            first_token_us: record.first_token_us,
        };
        samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
    })
}
