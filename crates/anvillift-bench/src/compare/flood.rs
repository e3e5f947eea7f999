//! One team floods; another stays within its limit.

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
use crate::trial::stage::{Stage, StageSettings};

const WARM_UP_S: u64 = 4;
const DURATION_S: u64 = 12;
/// The limit of the flooding team, against capacity.
const LIMIT_MILLI: u64 = 250;
/// What it sends, against capacity.
const FLOOD_LOAD_MILLI: u64 = 1500;
/// What the other team sends, against capacity.
const QUIET_LOAD_MILLI: u64 = 400;

/// What was seen of both teams.
#[derive(Clone, Debug, Default)]
pub struct FloodOutcome {
    /// Limit of the flooding team in the measured region, in requests a second.
    pub limit_per_s: f64,
    /// Its requests let in, a second.
    pub admitted_per_s: f64,
    /// Its requests, a second.
    pub flooded_per_s: f64,
    /// The other team's answers within the objective, as a share.
    pub quiet_good_share: f64,
    /// The other team's refusals, as a share.
    pub quiet_refused_share: f64,
}

/// Runs both teams at once.
///
/// All requests come from the first region, since a limit holds in each data
/// centre.
pub async fn run(experiment: &Experiment, seed: u64) -> Result<FloodOutcome, BenchError> {
    let flood = at_load(experiment, FLOOD_LOAD_MILLI);
    let quiet = at_load(experiment, QUIET_LOAD_MILLI);
    // Only engines have a capacity; the flood asks for them.
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
    let stage = Stage::start(StageSettings {
        experiment: experiment.clone(),
        teams: vec![team],
        ..StageSettings::default()
    })
    .await?;
    let flooding = drive_as(&stage, &flood, keys::FLOOD_KEY)?;
    let staying = drive_as(&stage, &quiet, keys::CALLER_KEY)?;
    let (flooded, stayed) = tokio::join!(
        drive::drive(flooding, plan::arrivals(&flood, seed)),
        drive::drive(staying, plan::arrivals(&quiet, seed.wrapping_add(1))),
    );
    stage.stop().await;
    Ok(outcome(limit_per_s, &flooded, &stayed))
}

fn drive_as(
    stage: &Stage,
    experiment: &Experiment,
    key: &str,
) -> Result<DriveSettings, BenchError> {
    let settings = trial::drive_settings(stage, experiment, Box::new(|_, _| {}))?;
    Ok(DriveSettings { caller: Caller::new(key)?, ..settings })
}

/// Questions only, from the first region.
fn at_load(experiment: &Experiment, load_milli: u64) -> Experiment {
    let mut changed = experiment.clone();
    changed.load_milli = load_milli;
    changed.warm_up_s = WARM_UP_S;
    changed.duration_s = DURATION_S;
    changed.classes.retain(|class| class.kind == ClassKind::Question);
    changed.regions.truncate(1);
    changed.regions.iter_mut().for_each(|region| region.share_milli = 1000);
    changed
}

fn outcome(limit_per_s: f64, flooded: &Tally, stayed: &Tally) -> FloodOutcome {
    let per_s = |count: u64| count as f64 / Duration::from_secs(DURATION_S).as_secs_f64();
    let flooded = flooded.total();
    let stayed = stayed.total();
    let share = |part: u64| part as f64 / stayed.sent.max(1) as f64;
    FloodOutcome {
        limit_per_s,
        admitted_per_s: per_s(flooded.whole),
        flooded_per_s: per_s(flooded.sent),
        quiet_good_share: share(stayed.good),
        quiet_refused_share: share(stayed.refused),
    }
}
