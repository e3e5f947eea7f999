//! State on which this host bases the choice of targets: its requests in flight,
//! the health and latency of workers, and its shares of common limits.

use std::collections::BTreeMap;

use anvillift_fleet::choose::Trouble;
use anvillift_fleet::{
    ColdShare, Flight, InFlight, InFlightTable, Patience, Prompt, RetryShare, RetryShareSettings,
    WorkerHealth, WorkerHealthSettings,
};
use anvillift_schema::name::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::node::FleetView;

/// State on which this host bases the choice of targets.
pub(crate) struct DispatchState {
    /// This host's share of the request rate of cold workers.
    pub(crate) cold: ColdShare,
    /// This host's share of the retry budgets.
    pub(crate) retries: RetryShare,
    pub(crate) rng: SmallRng,
    in_flight_table: InFlightTable,
    /// Usual time to the response head, by route.
    pub(crate) response_times: Patience,
    /// Health of workers and of other entry hosts, by name.
    health: BTreeMap<Name, WorkerHealth>,
    health_settings: WorkerHealthSettings,
}

impl DispatchState {
    pub(crate) fn new(retries: RetryShareSettings, seed: u64) -> Self {
        Self {
            cold: ColdShare::default(),
            retries: RetryShare::new(retries),
            rng: SmallRng::seed_from_u64(seed),
            in_flight_table: InFlightTable::default(),
            response_times: Patience::default(),
            health: BTreeMap::new(),
            health_settings: WorkerHealthSettings::default(),
        }
    }

    /// Requests of this host in flight at a worker.
    pub(crate) fn in_flight(&self, worker: &str) -> InFlight {
        self.in_flight_table.at(worker)
    }

    /// How degraded a worker is.
    pub(crate) fn health_level(&self, now_ms: u64, worker: &str) -> Trouble {
        let health = self.health.get(worker);
        health.map_or(Trouble::None, |health| health.trouble(now_ms, &self.health_settings))
    }

    /// Response time of a worker, as a multiple of the usual one.
    pub(crate) fn relative_latency(&self, now_ms: u64, worker: &str) -> f64 {
        self.health.get(worker).map_or(1.0, |health| health.pace(now_ms))
    }

    /// Records that a request is sent to a worker.
    pub(crate) fn request_sent(&mut self, now_ms: u64, worker: &Name, prompt: &Prompt) -> Flight {
        self.health.entry(worker.clone()).or_default().sent(now_ms);
        self.in_flight_table.begin(worker, prompt)
    }

    /// Records that bytes arrived from a worker.
    pub(crate) fn bytes_received(&mut self, now_ms: u64, worker: &Name) {
        if let Some(health) = self.health.get_mut(worker) {
            health.heard(now_ms);
        }
    }

    /// Records that a response on a route started `first_ms` after the request
    /// was sent.
    pub(crate) fn response_started(
        &mut self,
        now_ms: u64,
        in_flight: &mut Flight,
        route: &Name,
        first_ms: u64,
    ) {
        self.in_flight_table.read(in_flight);
        self.bytes_received(now_ms, in_flight.worker());
        if let Some(usual_ms) = self.response_times.present_ms(route)
            && let Some(health) = self.health.get_mut(in_flight.worker())
        {
            health.paced(now_ms, first_ms as f64 / usual_ms.max(1.0));
        }
        self.response_times.observe(route, first_ms);
    }

    /// Records whether a worker answered with a failure status. Returns whether
    /// it did and fails so often that another worker is likely to succeed.
    pub(crate) fn record_status(&mut self, worker: &Name, is_failure: bool) -> bool {
        let health = self.health.entry(worker.clone()).or_default();
        health.answered(is_failure);
        is_failure && health.fails_by_itself()
    }

    /// Records the end of a request. `success` is whether the worker served it
    /// well, or `None` if the end shows nothing about the worker.
    pub(crate) fn request_ended(&mut self, now_ms: u64, in_flight: Flight, success: Option<bool>) {
        let health = self.health.entry(in_flight.worker().clone()).or_default();
        health.ended();
        match success {
            Some(true) => health.succeeded(now_ms, &self.health_settings),
            Some(false) => health.failed(now_ms, &self.health_settings),
            None => (),
        }
        self.in_flight_table.end(in_flight);
    }

    /// Removes the state of workers, hosts, routes and services that no longer
    /// exist.
    pub(crate) fn remove_stale(&mut self, view: &FleetView) {
        let is_known =
            |name: &Name| view.workers.get(name).is_some() || view.hosts.get(name).is_some();
        self.health.retain(|name, _| is_known(name));
        if let Some(configuration) = &view.configuration {
            let routes = &configuration.routes;
            self.response_times.retain(|name| routes.iter().any(|route| route.name == *name));
            self.retries.retain(|name| configuration.services.contains_key(name));
        }
    }

    /// Records a failed connection to a worker. It counts as two failures.
    pub(crate) fn connect_failed(&mut self, now_ms: u64, worker: &Name) {
        let health = self.health.entry(worker.clone()).or_default();
        health.failed(now_ms, &self.health_settings);
        health.failed(now_ms, &self.health_settings);
    }
}
