//! Hosts, engines and plain services of a run, all in this process.

use std::collections::BTreeMap;

use anvillift_routing::policy::Policy;
use anvillift_schema::configuration::{Configuration, Service, ServiceKind, Team};
use anvillift_schema::name::Name;
use tokio::time::{self, Instant};

use super::Outage;
use super::outcome::EngineTotals;
use crate::engine::{self, EngineFaults, EngineSettings, RunningEngine};
use crate::error::BenchError;
use crate::fleet::{Fleet, FleetRegion, FleetSettings, keys};
use crate::load::experiment::{Experiment, Workers};
use crate::plain::{self, PlainSettings, RunningPlain};

const MILLI: u32 = 1000;

/// Experiment, policy and faults with which a testbed is started.
#[derive(Clone, Debug, Default)]
pub struct TestbedSettings {
    /// Experiment that names the regions, services and workers.
    pub experiment: Experiment,
    /// Policy by which hosts place requests.
    pub policy: Policy,
    /// Share of engines that fail every request, in thousandths.
    pub failing_milli: u32,
    /// Teams besides the ordinary callers' team.
    pub teams: Vec<Team>,
}

/// Running hosts, engines and plain services.
pub struct Testbed {
    fleet: Fleet,
    engines: Vec<TestbedEngine>,
    plains: Vec<RunningPlain>,
    /// Counters of the engines that crashed in an outage.
    crashed_totals: EngineTotals,
}

struct TestbedEngine {
    region: Name,
    settings: EngineSettings,
    running: RunningEngine,
}

impl Testbed {
    /// Starts hosts and upstreams, and waits until the hosts list the upstreams of their
    /// region.
    pub async fn start(settings: TestbedSettings) -> Result<Self, BenchError> {
        let experiment = &settings.experiment;
        let fleet = Fleet::start(FleetSettings {
            regions: fleet_regions(experiment),
            link: experiment.link.clone(),
            configuration: configuration(experiment, &settings.teams),
            policy: settings.policy,
            ..FleetSettings::default()
        })
        .await?;
        let mut testbed = Self {
            fleet,
            engines: Vec::new(),
            plains: Vec::new(),
            crashed_totals: EngineTotals::default(),
        };
        let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
        for workers in &experiment.workers {
            *counts.entry(workers.region.clone()).or_default() += workers.count as usize;
            testbed.add_workers(experiment, workers).await?;
        }
        testbed.set_failing_share(settings.failing_milli);
        testbed.fleet.wait_for_upstreams(&counts).await?;
        Ok(testbed)
    }

    /// Entry hosts of the run, with their addresses and links.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Base URLs of the running engines.
    pub fn engine_urls(&self) -> Vec<String> {
        self.engines.iter().map(|engine| format!("http://{}", engine.running.addr)).collect()
    }

    /// Base URLs of the plain services.
    pub fn plain_urls(&self) -> Vec<String> {
        self.plains.iter().map(|plain| format!("http://{}", plain.addr)).collect()
    }

    /// Counters summed over all engines, including those that crashed.
    pub fn totals(&self) -> EngineTotals {
        let reports = self.engines.iter().map(|engine| engine.running.report());
        reports.fold(self.crashed_totals, |sum, report| EngineTotals {
            attempts: sum.attempts + report.requests,
            computed_tokens: sum.computed_tokens + report.computed_tokens,
            cached_tokens: sum.cached_tokens + report.cached_tokens,
        })
    }

    /// Crashes the engines of a region and starts new ones with the same settings, at
    /// the times of `outage`.
    pub async fn simulate_outage(&mut self, outage: &Outage) -> Result<(), BenchError> {
        let started = Instant::now();
        time::sleep_until(started + outage.crash_after).await;
        let mut crashed_settings = Vec::new();
        let (crashed, remaining) = self
            .engines
            .drain(..)
            .partition(|engine: &TestbedEngine| engine.region == outage.region);
        self.engines = remaining;
        for engine in Vec::from_iter::<Vec<_>>(crashed) {
            let report = engine.running.report();
            self.crashed_totals.attempts += report.requests;
            self.crashed_totals.computed_tokens += report.computed_tokens;
            self.crashed_totals.cached_tokens += report.cached_tokens;
            engine.running.crash().await;
            crashed_settings.push((engine.region, engine.settings));
        }
        time::sleep_until(started + outage.restart_after).await;
        for (region, settings) in crashed_settings {
            let running = engine::start(settings.clone()).await?;
            self.engines.push(TestbedEngine { region, settings, running });
        }
        Ok(())
    }

    /// Stops upstreams and hosts without finishing requests in flight.
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
            let announce = self.fleet.announce_settings(&workers.region);
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
                self.engines.push(TestbedEngine { region, settings, running });
            } else {
                let service = workers.service.clone();
                let settings = PlainSettings { name, service, announce, ..Default::default() };
                self.plains.push(plain::start(settings).await?);
            }
        }
        Ok(())
    }

    /// Makes a share of the engines fail every request.
    ///
    /// The failing engines are spread evenly over the list, which is ordered by group of
    /// workers, so they do not all fall into one region.
    fn set_failing_share(&self, failing_milli: u32) {
        let mut accumulated_milli = 0;
        for engine in &self.engines {
            accumulated_milli += failing_milli;
            if accumulated_milli >= MILLI {
                accumulated_milli -= MILLI;
                engine.running.set_faults(EngineFaults { fail_milli: MILLI, ..Default::default() });
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
