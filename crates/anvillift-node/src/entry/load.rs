//! What this host has sent and how it went.

use std::collections::BTreeMap;

use anvillift_fleet::choose::Trouble;
use anvillift_fleet::{
    ColdShare, Flight, InFlight, InFlightTable, Patience, Prompt, RetryShare, RetryShareSettings,
    WorkerHealth, WorkerHealthSettings,
};
use anvillift_schema::name::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::node::Known;

/// What this host has sent and how it went.
pub(crate) struct Load {
    pub(crate) cold: ColdShare,
    pub(crate) retries: RetryShare,
    pub(crate) rng: SmallRng,
    work: InFlightTable,
    pub(crate) patience: Patience,
    health: BTreeMap<Name, WorkerHealth>,
    health_settings: WorkerHealthSettings,
}

impl Load {
    pub(crate) fn new(retries: RetryShareSettings, seed: u64) -> Self {
        Self {
            cold: ColdShare::default(),
            retries: RetryShare::new(retries),
            rng: SmallRng::seed_from_u64(seed),
            work: InFlightTable::default(),
            patience: Patience::default(),
            health: BTreeMap::new(),
            health_settings: WorkerHealthSettings::default(),
        }
    }

    /// Work of this host that waits at a worker.
    pub(crate) fn work(&self, worker: &str) -> InFlight {
        self.work.at(worker)
    }

    /// How much a worker is to be avoided.
    pub(crate) fn trouble(&self, now_ms: u64, worker: &str) -> Trouble {
        let health = self.health.get(worker);
        health.map_or(Trouble::None, |health| health.trouble(now_ms, &self.health_settings))
    }

    /// What a worker's answers take, as a multiple of what they usually take.
    pub(crate) fn pace(&self, now_ms: u64, worker: &str) -> f64 {
        self.health.get(worker).map_or(1.0, |health| health.pace(now_ms))
    }

    /// A request is sent.
    pub(crate) fn begin(&mut self, now_ms: u64, worker: &Name, prompt: &Prompt) -> Flight {
        self.health.entry(worker.clone()).or_default().sent(now_ms);
        self.work.begin(worker, prompt)
    }

    /// Bytes arrived from a worker.
    pub(crate) fn heard(&mut self, now_ms: u64, worker: &Name) {
        if let Some(health) = self.health.get_mut(worker) {
            health.heard(now_ms);
        }
    }

    /// The first bytes of an answer on a route arrived, so long after the
    /// request was sent.
    pub(crate) fn answered(
        &mut self,
        now_ms: u64,
        flight: &mut Flight,
        route: &Name,
        first_ms: u64,
    ) {
        self.work.read(flight);
        self.heard(now_ms, flight.worker());
        if let Some(present_ms) = self.patience.present_ms(route)
            && let Some(health) = self.health.get_mut(flight.worker())
        {
            health.paced(now_ms, first_ms as f64 / present_ms.max(1.0));
        }
        self.patience.observe(route, first_ms);
    }

    /// A worker answered, with a failure of its own or not; whether it fails so
    /// often that another is likely to do better.
    pub(crate) fn fails_by_itself(&mut self, worker: &Name, is_failure: bool) -> bool {
        let health = self.health.entry(worker.clone()).or_default();
        health.answered(is_failure);
        is_failure && health.fails_by_itself()
    }

    /// A request has ended, well or not, or without a finding about the worker.
    pub(crate) fn end(&mut self, now_ms: u64, flight: Flight, good: Option<bool>) {
        let health = self.health.entry(flight.worker().clone()).or_default();
        health.ended();
        match good {
            Some(true) => health.succeeded(now_ms, &self.health_settings),
            Some(false) => health.failed(now_ms, &self.health_settings),
            None => (),
        }
        self.work.end(flight);
    }

    /// Forgets workers, hosts, routes and services that are gone.
    pub(crate) fn forget_gone(&mut self, known: &Known) {
        let is_known =
            |name: &Name| known.workers.get(name).is_some() || known.hosts.get(name).is_some();
        self.health.retain(|name, _| is_known(name));
        if let Some(configuration) = &known.configuration {
            let routes = &configuration.routes;
            self.patience.retain(|name| routes.iter().any(|route| route.name == *name));
            self.retries.retain(|name| configuration.services.contains_key(name));
        }
    }

    /// A worker could not be reached.
    pub(crate) fn unreachable(&mut self, now_ms: u64, worker: &Name) {
        let health = self.health.entry(worker.clone()).or_default();
        health.failed(now_ms, &self.health_settings);
        health.failed(now_ms, &self.health_settings);
    }
}
