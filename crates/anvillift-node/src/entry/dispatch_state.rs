//! State on which this host bases the choice of targets: its requests in flight,
//! the health and latency of workers, and its shares of common limits.

use std::collections::BTreeMap;

use anvillift_fleet::choose::Degradation;
use anvillift_fleet::deferral::Deferral;
use anvillift_fleet::{
    AnswerTimeouts, CallLimit, CallRunTime, ColdShare, ConcurrencyLimit, InFlight, InFlightRequest,
    InFlightTable, LimitShare, PrefixCounts, Prompt, PromptSpeed, RetryShare, RunTime,
    ServedFeatures, StreamSpeeds, SuspectedFeatures, WorkerHealth, WorkerHealthSettings,
    WorkerNotices, WorkerSpeeds, WorkerStart,
};
use anvillift_schema::fleet::FleetHost;
use anvillift_schema::name::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock;
use crate::fleet_view::FleetView;

/// State on which this host bases the choice of targets.
pub(crate) struct DispatchState {
    /// This host's share of the request rate of cold workers.
    pub(crate) cold: ColdShare,
    /// This host's share of the retry budgets.
    pub(crate) retries: RetryShare,
    pub(crate) rng: SmallRng,
    /// Prefixes of the prompts of this host's callers, by service.
    pub(crate) prefix_counts: BTreeMap<Name, PrefixCounts>,
    /// Speed at which the workers of this region process prompts, by service.
    pub(crate) prompt_speeds: BTreeMap<Name, PromptSpeed>,
    /// Limits of the requests of this host in flight at the workers of this region, by service.
    pub(crate) concurrency_limits: BTreeMap<Name, ConcurrencyLimit>,
    /// Whether long prompts with time to spare are deferred, by service.
    pub(crate) deferrals: BTreeMap<Name, Deferral>,
    /// Limits of the calls of this host in flight at the workers of this region, by service and
    /// route.
    pub(crate) call_limits: BTreeMap<(Name, Name), CallLimit>,
    /// How long the workers of this region run a call, by service.
    pub(crate) call_run_times: BTreeMap<Name, CallRunTime>,
    /// How long the workers of this region run a request, by service.
    pub(crate) run_times: BTreeMap<Name, RunTime>,
    /// Speed of the streams of workers since the last report to the cores.
    pub(crate) stream_speeds: StreamSpeeds,
    /// What workers have said in their answers.
    pub(crate) notices: WorkerNotices,
    /// Features of the requests that this host has served.
    pub(crate) served_features: ServedFeatures,
    /// Features of requests that may crash workers.
    pub(crate) suspected_features: SuspectedFeatures,
    /// This host's share of the limits that workers have named.
    pub(crate) limit_share: LimitShare,
    /// How slow each worker is.
    pub(crate) worker_speeds: WorkerSpeeds,
    in_flight_table: InFlightTable,
    /// Timeouts for the response head, from the recent latencies of each route.
    pub(crate) answer_timeouts: AnswerTimeouts,
    /// Health of workers and of other entry hosts, by name.
    health: BTreeMap<Name, WorkerHealth>,
    /// Start times of the hosts at the last decision about each.
    host_boots: BTreeMap<Name, u64>,
    health_settings: WorkerHealthSettings,
}

impl DispatchState {
    pub(crate) fn new(retries: RetryShare, cold: ColdShare, seed: u64) -> Self {
        Self {
            cold,
            retries,
            rng: SmallRng::seed_from_u64(seed),
            prefix_counts: BTreeMap::new(),
            prompt_speeds: BTreeMap::new(),
            concurrency_limits: BTreeMap::new(),
            deferrals: BTreeMap::new(),
            call_limits: BTreeMap::new(),
            call_run_times: BTreeMap::new(),
            run_times: BTreeMap::new(),
            stream_speeds: StreamSpeeds::default(),
            notices: WorkerNotices::default(),
            served_features: ServedFeatures::default(),
            suspected_features: SuspectedFeatures::default(),
            limit_share: LimitShare::default(),
            worker_speeds: WorkerSpeeds::default(),
            in_flight_table: InFlightTable::default(),
            answer_timeouts: AnswerTimeouts::default(),
            health: BTreeMap::new(),
            host_boots: BTreeMap::new(),
            health_settings: WorkerHealthSettings::default(),
        }
    }

    /// Requests of this host in flight at a worker.
    pub(crate) fn in_flight(&self, worker: &str) -> InFlight {
        self.in_flight_table.in_flight_at(worker)
    }

    /// Number of requests of this host in flight at a worker that were sent at `since_ms` or
    /// later.
    pub(crate) fn sent_since(&self, worker: &str, since_ms: u64) -> u64 {
        self.in_flight_table.sent_since(worker, since_ms)
    }

    /// How degraded a worker is.
    pub(crate) fn degradation(&self, now_ms: u64, worker: &str) -> Degradation {
        let health = self.health.get(worker);
        health.map_or(Degradation::None, |health| health.degradation(now_ms, &self.health_settings))
    }

    /// How degraded another entry host is. Failures before its last start say nothing about it.
    pub(crate) fn host_degradation(&mut self, now_ms: u64, host: &FleetHost) -> Degradation {
        let last_boot = self.host_boots.insert(host.name.clone(), host.boot);
        if last_boot.is_some_and(|boot| boot != host.boot)
            && let Some(health) = self.health.get_mut(&host.name)
        {
            health.forget_failures();
        }
        self.degradation(now_ms, &host.name)
    }

    /// Time since which a worker counts as silent, in milliseconds.
    pub(crate) fn silent_since_ms(&self, now_ms: u64, worker: &str) -> Option<u64> {
        self.health.get(worker)?.silent_since_ms(now_ms, &self.health_settings)
    }

    /// Records that a request is sent to a worker.
    pub(crate) fn request_sent(
        &mut self,
        now_ms: u64,
        worker: &Name,
        prompt: &Prompt,
    ) -> InFlightRequest {
        self.health.entry(worker.clone()).or_default().record_sent(now_ms);
        self.in_flight_table.begin(now_ms, worker, prompt)
    }

    /// Records that bytes arrived from a worker.
    pub(crate) fn bytes_received(&mut self, now_ms: u64, worker: &Name) {
        if let Some(health) = self.health.get_mut(worker) {
            health.record_bytes(now_ms);
        }
    }

    /// Records that a response on a route started `first_ms` after the request
    /// was sent.
    pub(crate) fn response_started(
        &mut self,
        now_ms: u64,
        in_flight: &mut InFlightRequest,
        route: &Name,
        first_ms: u64,
    ) {
        self.in_flight_table.prompt_processed(in_flight);
        self.bytes_received(now_ms, in_flight.worker());
        self.answer_timeouts.record(route, first_ms);
    }

    /// Records whether a worker answered with a failure status. Returns whether
    /// it did and fails so often that another worker is likely to succeed.
    pub(crate) fn record_status(&mut self, worker: &Name, is_failure: bool) -> bool {
        let health = self.health.entry(worker.clone()).or_default();
        health.record_answer(is_failure);
        is_failure && health.is_failing()
    }

    /// Records the end of a request. `success` is whether the worker served it
    /// successfully, or `None` if the end shows nothing about the worker.
    pub(crate) fn request_ended(
        &mut self,
        now_ms: u64,
        in_flight: InFlightRequest,
        success: Option<bool>,
    ) {
        let health = self.health.entry(in_flight.worker().clone()).or_default();
        health.record_end();
        match success {
            Some(true) => health.record_success(now_ms, &self.health_settings),
            Some(false) => health.record_failure(now_ms, &self.health_settings),
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
        self.host_boots.retain(|name, _| is_known(name));
        self.notices.remove_stale(clock::now_ms(), &view.workers);
        let is_current = |worker: &WorkerStart| {
            let entry = view.workers.get(&worker.id);
            entry.is_some_and(|entry| entry.report.born_ms == worker.born_ms)
        };
        self.limit_share.retain(is_current);
        self.worker_speeds.retain_workers(is_current);
        self.suspected_features.remove_ended(clock::now_ms());
        if let Some(configuration) = &view.configuration {
            let routes = &configuration.routes;
            let is_route = |name: &Name| routes.iter().any(|route| route.name == *name);
            self.answer_timeouts.retain(is_route);
            self.worker_speeds.retain_routes(is_route);
            self.retries.retain(|name| configuration.services.contains_key(name));
            self.prefix_counts.retain(|name, _| configuration.services.contains_key(name));
            self.prompt_speeds.retain(|name, _| configuration.services.contains_key(name));
            self.concurrency_limits.retain(|name, _| configuration.services.contains_key(name));
            self.deferrals.retain(|name, _| configuration.services.contains_key(name));
            self.call_limits.retain(|(service, route), _| {
                configuration.services.contains_key(service) && is_route(route)
            });
            self.call_run_times.retain(|name, _| configuration.services.contains_key(name));
            self.run_times.retain(|name, _| configuration.services.contains_key(name));
        }
    }

    /// Records a failed connection to a worker. It counts as two failures.
    pub(crate) fn connect_failed(&mut self, now_ms: u64, worker: &Name) {
        let health = self.health.entry(worker.clone()).or_default();
        health.record_failure(now_ms, &self.health_settings);
        health.record_failure(now_ms, &self.health_settings);
    }
}
