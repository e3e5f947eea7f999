//! Run in which one team sends far more than its limit while another stays within it.
//!
//! It shows whether the limit holds and whether the other team keeps its share.

use std::time::Duration;

use anvillift_schema::configuration::{ServiceKind, Team};
use anvillift_schema::name::Name;

use crate::error::BenchError;
use crate::fleet::keys;
use crate::load::caller::Caller;
use crate::load::drive::{self, DriveSettings};
use crate::load::experiment::{ClassKind, Experiment};
use crate::load::plan;
use crate::load::tally::Tally;
use crate::trial;
use crate::trial::testbed::{Testbed, TestbedSettings};

const WARM_UP_S: u64 = 4;
const DURATION_S: u64 = 12;
/// Request limit of the flooding team relative to capacity, in thousandths.
const LIMIT_MILLI: u64 = 250;
/// Load of the flooding team relative to capacity, in thousandths.
const FLOOD_LOAD_MILLI: u64 = 1500;
/// Load of the other team relative to capacity, in thousandths.
const QUIET_LOAD_MILLI: u64 = 400;

/// Request rates of the flooding team and answers to the other team.
#[derive(Clone, Debug, Default)]
pub struct FloodOutcome {
    /// Limit of the flooding team in the measured region, in requests per second.
    pub limit_per_s: f64,
    /// Requests of the flooding team with a complete answer, per second.
    pub admitted_per_s: f64,
    /// Requests that the flooding team sent, per second.
    pub sent_per_s: f64,
    /// Share of the other team's requests answered within the first-token target.
    pub quiet_within_target_share: f64,
    /// Share of the other team's requests that were refused.
    pub quiet_refused_share: f64,
}

/// Sends the requests of both teams at the same time.
///
/// All requests arrive in the first region, because a team's limit applies to each
/// data centre separately.
pub async fn run(experiment: &Experiment, seed: u64) -> Result<FloodOutcome, BenchError> {
    let flood = questions_at_load(experiment, FLOOD_LOAD_MILLI);
    let quiet = questions_at_load(experiment, QUIET_LOAD_MILLI);
    // Only model services have a computed capacity, and both teams use only these.
    let models = experiment.services.iter().filter(|service| service.kind == ServiceKind::Model);
    let capacity_per_s: f64 = models.map(|service| experiment.capacity_per_s(&service.name)).sum();
    let limit_per_s = capacity_per_s * LIMIT_MILLI as f64 / 1000.0;
    let team = Team {
        name: Name::from("flood"),
        key_hashes: vec![keys::hash(keys::FLOOD_KEY)],
        home: experiment.regions.first().map(|region| region.name.clone()),
        requests_per_s_milli: (limit_per_s * 1000.0) as u64,
        tokens_per_s: 0,
        burst_s: 1,
    };
    let testbed = Testbed::start(TestbedSettings {
        experiment: experiment.clone(),
        teams: vec![team],
        ..TestbedSettings::default()
    })
    .await?;
    let flood_drive = drive_settings_with_key(&testbed, &flood, keys::FLOOD_KEY)?;
    let quiet_drive = drive_settings_with_key(&testbed, &quiet, keys::CALLER_KEY)?;
    let (flood_tally, quiet_tally) = tokio::join!(
        drive::drive(flood_drive, plan::arrivals(&flood, seed)),
        drive::drive(quiet_drive, plan::arrivals(&quiet, seed.wrapping_add(1))),
    );
    testbed.stop().await;
    Ok(outcome(limit_per_s, &flood_tally, &quiet_tally))
}

fn drive_settings_with_key(
    testbed: &Testbed,
    experiment: &Experiment,
    key: &str,
) -> Result<DriveSettings, BenchError> {
    let settings = trial::drive_settings(testbed, experiment, Box::new(|_, _| {}))?;
    Ok(DriveSettings { caller: Caller::new(key)?, ..settings })
}

/// Returns the experiment reduced to questions from the first region, at a given load.
fn questions_at_load(experiment: &Experiment, load_milli: u64) -> Experiment {
    let mut changed = experiment.clone();
    changed.load_milli = load_milli;
    changed.warm_up_s = WARM_UP_S;
    changed.duration_s = DURATION_S;
    changed.classes.retain(|class| class.kind == ClassKind::Question);
    changed.regions.truncate(1);
    changed.regions.iter_mut().for_each(|region| region.share_milli = 1000);
    changed
}

fn outcome(limit_per_s: f64, flood_tally: &Tally, quiet_tally: &Tally) -> FloodOutcome {
    let per_s = |count: u64| count as f64 / Duration::from_secs(DURATION_S).as_secs_f64();
    let flood_tally = flood_tally.total();
    let quiet_tally = quiet_tally.total();
    let share = |part: u64| part as f64 / quiet_tally.sent.max(1) as f64;
    FloodOutcome {
        limit_per_s,
        admitted_per_s: per_s(flood_tally.complete),
        sent_per_s: per_s(flood_tally.sent),
        quiet_within_target_share: share(quiet_tally.within_target),
        quiet_refused_share: share(quiet_tally.refused),
    }
}
