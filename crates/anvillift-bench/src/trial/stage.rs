//! The hosts and stand-ins of a run.

use std::collections::BTreeMap;

use anvillift_routing::policy::Policy;
use anvillift_schema::configuration::{Configuration, Service, ServiceKind, Team};
use anvillift_schema::name::Name;
use tokio::time::{self, Instant};

use super::Outage;
use super::outcome::EngineTotals;
use crate::engine::{self, EngineMode, EngineSettings, RunningEngine};
use crate::error::BenchError;
use crate::fleet::{Fleet, FleetRegion, FleetSettings, keys};
use crate::load::experiment::{Experiment, Workers};
use crate::plain::{self, PlainSettings, RunningPlain};

const MILLI: u32 = 1000;

/// Settings of a stage.
#[derive(Clone, Debug, Default)]
pub struct StageSettings {
    /// Regions, services and workers.
    pub experiment: Experiment,
    /// How requests are placed.
    pub policy: Policy,
    /// Share of engines that fail every request, in thousandths.
    pub failing_milli: u32,
    /// Teams besides the callers' own.
    pub teams: Vec<Team>,
}

/// Hosts, engines and plain services of a run.
pub struct Stage {
    fleet: Fleet,
    engines: Vec<StageEngine>,
    plains: Vec<RunningPlain>,
    /// Sums of engines that crashed.
    gone: EngineTotals,
}

struct StageEngine {
    region: Name,
    settings: EngineSettings,
    running: RunningEngine,
}

impl Stage {
    /// Starts everything and waits until hosts know their upstreams.
    pub async fn start(settings: StageSettings) -> Result<Self, BenchError> {
        let experiment = &settings.experiment;
        let fleet = Fleet::start(FleetSettings {
            regions: fleet_regions(experiment),
            link: experiment.link.clone(),
            configuration: configuration(experiment, &settings.teams),
            policy: settings.policy,
            ..FleetSettings::default()
        })
        .await?;
        let mut stage =
            Self { fleet, engines: Vec::new(), plains: Vec::new(), gone: EngineTotals::default() };
        let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
        for workers in &experiment.workers {
            *counts.entry(workers.region.clone()).or_default() += workers.count as usize;
            stage.add_workers(experiment, workers).await?;
        }
        stage.fail_share(settings.failing_milli);
        stage.fleet.until_upstreams(&counts).await?;
        Ok(stage)
    }

    /// The hosts.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Base URLs of the engines.
    pub fn engine_urls(&self) -> Vec<String> {
        self.engines.iter().map(|engine| format!("http://{}", engine.running.addr)).collect()
    }

    /// Base URLs of the plain services.
    pub fn plain_urls(&self) -> Vec<String> {
        self.plains.iter().map(|plain| format!("http://{}", plain.addr)).collect()
    }

    /// Sums over all engines.
    pub fn totals(&self) -> EngineTotals {
        let reports = self.engines.iter().map(|engine| engine.running.report());
        reports.fold(self.gone, |sum, report| EngineTotals {
            attempts: sum.attempts + report.requests,
            computed_tokens: sum.computed_tokens + report.computed_tokens,
            cached_tokens: sum.cached_tokens + report.cached_tokens,
        })
    }

    /// Lets a region lose its engines and get new ones.
    pub async fn suffer(&mut self, outage: &Outage) -> Result<(), BenchError> {
        let started = Instant::now();
        time::sleep_until(started + outage.crash_after).await;
        let mut lost = Vec::new();
        let (hit, left) =
            self.engines.drain(..).partition(|engine: &StageEngine| engine.region == outage.region);
        self.engines = left;
        for engine in Vec::from_iter::<Vec<_>>(hit) {
            let report = engine.running.report();
            self.gone.attempts += report.requests;
            self.gone.computed_tokens += report.computed_tokens;
            self.gone.cached_tokens += report.cached_tokens;
            engine.running.crash().await;
            lost.push((engine.region, engine.settings));
        }
        time::sleep_until(started + outage.return_after).await;
        for (region, settings) in lost {
            let running = engine::start(settings.clone()).await?;
            self.engines.push(StageEngine { region, settings, running });
        }
        Ok(())
    }

    /// Stops everything.
    pub async fn stop(self) {
        for engine in self.engines {
            engine.running.crash().await;
        }
        for plain in self.plains {
            plain.crash().await;
        }
        self.fleet.stop();
    }

    async fn add_workers(
        &mut self,
        experiment: &Experiment,
        workers: &Workers,
    ) -> Result<(), BenchError> {
        let service = experiment.services.iter().find(|service| service.name == workers.service);
        let is_model = service.is_some_and(|service| service.kind == ServiceKind::Model);
        for number in 1..=workers.count {
            let name = Name::from(format!("{}-{}-{number}", workers.service, workers.region));
            let announce = self.fleet.announce(&workers.region);
            if is_model {
                let settings = EngineSettings {
                    name,
                    service: workers.service.clone(),
                    announce,
                    batch: workers.batch.clone(),
                    cache_blocks: workers.cache_blocks,
                    seed: u64::from(number),
                    ..EngineSettings::default()
                };
                let running = engine::start(settings.clone()).await?;
                let region = workers.region.clone();
                self.engines.push(StageEngine { region, settings, running });
            } else {
                let service = workers.service.clone();
                let settings = PlainSettings { name, service, announce, ..Default::default() };
                self.plains.push(plain::start(settings).await?);
            }
        }
        Ok(())
    }

    /// Every engine gets its share, so that each region has some that fail.
    fn fail_share(&self, failing_milli: u32) {
        let mut owed_milli = 0;
        for engine in &self.engines {
            owed_milli += failing_milli;
            if owed_milli >= MILLI {
                owed_milli -= MILLI;
                engine.running.set_mode(EngineMode { fail_milli: MILLI, ..Default::default() });
            }
        }
    }
}

fn fleet_regions(experiment: &Experiment) -> Vec<FleetRegion> {
    let regions = experiment.regions.iter().map(|region| FleetRegion {
        name: region.name.clone(),
        data_centre: region.data_centre.clone(),
        hosts: region.hosts,
    });
    regions.collect()
}

fn configuration(experiment: &Experiment, teams: &[Team]) -> Configuration {
    let home = experiment.regions.first().map(|region| region.name.clone());
    let callers = Team {
        name: Name::from("bench"),
        key_hashes: vec![keys::hash(keys::CALLER_KEY)],
        home,
        ..Team::default()
    };
    let services = experiment.services.iter().map(|service| {
        let entry = Service {
            kind: service.kind,
            name: service.name.clone(),
            profile: service.profile.name.clone(),
        };
        (service.name.clone(), entry)
    });
    let profiles = experiment.services.iter().map(|service| service.profile.clone());
    let teams = std::iter::once(callers).chain(teams.iter().cloned());
    Configuration {
        revision: 0,
        services: services.collect(),
        profiles: profiles.map(|profile| (profile.name.clone(), profile)).collect(),
        teams: teams.map(|team| (team.name.clone(), team)).collect(),
    }
}
