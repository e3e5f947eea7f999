//! Rejection of prompts under overload: while this region has a large backlog of prompt tokens, or
//! while this host has as many requests in flight as the workers answer in time. Also records the
//! speed, latency and run time from which this is decided. The policies are [`admission`] and
//! [`anvillift_fleet::ConcurrencyLimit`].

use anvillift_fleet::admission::ExpectedWait;
use anvillift_fleet::choose::Degradation;
use anvillift_fleet::{LatencySample, LoadAtHost, WorkerEntry, admission, deferral};
use anvillift_schema::event::Event;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::load_decision::LoadDecision;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::fleet_view::FleetView;

/// Why a prompt would be rejected, with the figures that decide.
#[derive(Clone, Copy, Debug)]
enum OverloadCause {
    /// The workers of the region have too many prompt tokens to process: `tokens` for each
    /// worker, by a report of this age, for which they are expected to take `wait_ms`.
    Backlog { tokens: f64, age_ms: Option<u64>, wait_ms: f64 },
    /// This host has reached its limit of requests in flight, which is `limit` batches.
    Limit { limit: f64 },
    /// Requests with less time are rejected, and the caller of this prompt has time to retry.
    Deferred,
}

impl Entry {
    /// Decides about a request that is about to be sent to a worker of this region.
    pub(crate) fn decide_by_load(&self, request: &Request, attempts: &Attempts) -> LoadDecision {
        if let Some(failure) = self.deadline_failure(request) {
            return LoadDecision::Reject(failure);
        }
        if request.prompt.input_tokens == 0 {
            return self.decide_call(request, attempts);
        }
        self.overload_failure(request).map_or(LoadDecision::Admit, LoadDecision::Reject)
    }

    /// The failure with which a prompt that is about to be sent to a worker of this region is
    /// rejected, or `None` if it is admitted. The shares of teams may move a rejection to another
    /// request.
    fn overload_failure(&self, request: &Request) -> Option<RequestFailure> {
        let view = self.node.view.borrow();
        let load = self.load_at_host(&view, request);
        if self.is_deferred(&view, request) {
            metrics::counter!("anvillift_prompts_deferred_total").increment(1);
            log_rejection(&view, request, &load, Some(OverloadCause::Deferred));
            return Some(self.limit_failure(request, &load));
        }
        let cause = self.overload_cause(&view, request, &load);
        let draw = self.dispatch.borrow_mut().rng.random();
        if !self.is_rejected_by_share(request, cause.is_some(), draw) {
            return None;
        }
        log_rejection(&view, request, &load, cause);
        // Without a target there is no time within which an answer would still be in time.
        if load.target_ms == 0 || matches!(cause, Some(OverloadCause::Backlog { .. })) {
            return Some(RequestFailure::OVERLOADED);
        }
        Some(self.limit_failure(request, &load))
    }

    /// Whether a long prompt with time to spare is rejected because requests without it are. It
    /// is not left to the shares of teams: they could reject many short prompts in its place.
    fn is_deferred(&self, view: &FleetView, request: &Request) -> bool {
        if !has_slack(view, request) || self.resumes_stream(request) {
            return false;
        }
        let mut dispatch = self.dispatch.borrow_mut();
        let draw = dispatch.rng.random();
        let deferral = dispatch.deferrals.get(&request.service).copied().unwrap_or_default();
        deferral.defers(clock::now_ms(), draw)
    }

    fn limit_failure(&self, request: &Request, load: &LoadAtHost) -> RequestFailure {
        let mut dispatch = self.dispatch.borrow_mut();
        let draw = dispatch.rng.random();
        let limit = dispatch.concurrency_limits.entry(request.service.clone()).or_default();
        RequestFailure::at_limit(limit.retry_after_ms(load.target_ms, draw))
    }

    /// Why a prompt would be rejected without regard to its team. The backlog is not checked for
    /// prompts that another host has forwarded here, since that host has checked it.
    fn overload_cause(
        &self,
        view: &FleetView,
        request: &Request,
        load: &LoadAtHost,
    ) -> Option<OverloadCause> {
        let is_most_urgent = view.teams.is_most_urgent(&request.service, request.priority);
        if request.origin == Origin::Caller
            && !self.resumes_stream(request)
            && let Some(backlog) = self.rejecting_backlog(view, request, is_most_urgent)
        {
            return Some(backlog);
        }
        let mut dispatch = self.dispatch.borrow_mut();
        let draw = dispatch.rng.random();
        let limit = dispatch.concurrency_limits.entry(request.service.clone()).or_default();
        let is_admitted = if self.resumes_stream(request) {
            limit.admits_resumed(load)
        } else {
            limit.admits(load, is_most_urgent, draw)
        };
        if is_admitted {
            return None;
        }
        let cause = OverloadCause::Limit { limit: limit.limit(load) };
        if !has_slack(view, request) {
            let deferral = dispatch.deferrals.entry(request.service.clone()).or_default();
            deferral.record_rejection(clock::now_ms());
        }
        Some(cause)
    }

    /// The backlog of this region, if a long prompt is rejected because of it.
    fn rejecting_backlog(
        &self,
        view: &FleetView,
        request: &Request,
        is_most_urgent: bool,
    ) -> Option<OverloadCause> {
        if !admission::may_reject(&request.prompt) {
            return None;
        }
        let tokens = self.backlog_tokens(view, request)?;
        let mut dispatch = self.dispatch.borrow_mut();
        let speed = dispatch.prompt_speeds.get(&request.service).copied().unwrap_or_default();
        let wait_ms = speed.duration_ms(tokens);
        let target_ms = request.route.target_latency_ms;
        let expected = ExpectedWait { wait_ms, target_ms, is_most_urgent };
        let is_rejected = admission::rejects(&expected, dispatch.rng.random());
        let age_ms = view.loads.age_ms(clock::now_ms(), &self.node.settings.region);
        is_rejected.then_some(OverloadCause::Backlog { tokens, age_ms, wait_ms })
    }

    /// What this host and its region have in flight for the service of a request.
    pub(super) fn load_at_host(&self, view: &FleetView, request: &Request) -> LoadAtHost {
        let own = &self.node.settings.region;
        let ready = self.ready_workers(view, request, own);
        let slots = ready.first().map_or(1, |worker| worker.report.slots.max(1));
        let per_worker =
            view.loads.requests_per_worker(clock::now_ms(), own, &request.service, ready.len());
        let (in_flight, answering) = self.in_flight_at_answering(&ready);
        let share = view.hosts.caller_share(own, &self.node.own_host().name);
        let dispatch = self.dispatch.borrow();
        let run_time = dispatch.run_times.get(&request.service).copied().unwrap_or_default();
        LoadAtHost {
            in_flight,
            workers: answering as f64 * share,
            slot_use: per_worker.map(|requests| requests / slots as f64),
            run_ms: run_time.average_ms(),
            target_ms: request.route.target_latency_ms,
        }
    }

    /// Requests of this host in flight at those workers that answer, in batches, and the number
    /// of these workers. Requests at silent workers say nothing about the wait at others.
    fn in_flight_at_answering(&self, workers: &[&WorkerEntry]) -> (f64, usize) {
        let now_ms = clock::now_ms();
        let dispatch = self.dispatch.borrow();
        let reports = workers.iter().map(|worker| &worker.report);
        let answering =
            reports.filter(|report| dispatch.degradation(now_ms, &report.id) == Degradation::None);
        answering.fold((0.0, 0), |(sum, count), report| {
            let requests = dispatch.in_flight(&report.id).requests;
            (sum + requests as f64 / report.slots.max(1) as f64, count + 1)
        })
    }

    /// Records that a worker of this region has begun to answer a prompt.
    pub(crate) fn record_latency(&self, request: &Request, sent_ms: u64, first_ms: u64) {
        let target_ms = request.route.target_latency_ms;
        if request.prompt.input_tokens == 0 || target_ms == 0 {
            return;
        }
        let view = self.node.view.borrow();
        let ready = self.ready_workers(&view, request, &self.node.settings.region);
        let (in_flight, _) = self.in_flight_at_answering(&ready);
        let mut dispatch = self.dispatch.borrow_mut();
        let run_time = dispatch.run_times.get(&request.service).copied().unwrap_or_default();
        let sample = LatencySample { sent_ms, first_ms, target_ms, run_ms: run_time.average_ms() };
        let limit = dispatch.concurrency_limits.entry(request.service.clone()).or_default();
        limit.record(clock::now_ms(), &sample, in_flight);
    }

    /// Records how long a worker of this region took from the first to the last byte of a
    /// complete answer.
    pub(crate) fn record_run_time(&self, request: &Request, run_ms: u64) {
        let mut dispatch = self.dispatch.borrow_mut();
        dispatch.run_times.entry(request.service.clone()).or_default().record(run_ms);
    }

    /// Records that a worker of this region has begun to answer a long prompt.
    pub(crate) fn record_prompt_speed(&self, request: &Request, first_ms: u64) {
        if !admission::may_reject(&request.prompt) {
            return;
        }
        let view = self.node.view.borrow();
        let Some(backlog_tokens) = self.backlog_tokens(&view, request) else { return };
        let tokens = backlog_tokens + request.prompt.input_tokens as f64;
        let mut dispatch = self.dispatch.borrow_mut();
        let speed = dispatch.prompt_speeds.entry(request.service.clone()).or_default();
        speed.record(tokens, first_ms);
    }

    /// Prompt tokens per worker of this region that are not processed yet, of the
    /// requests of all hosts.
    pub(super) fn backlog_tokens(&self, view: &FleetView, request: &Request) -> Option<f64> {
        let own = &self.node.settings.region;
        let workers = self.ready_workers(view, request, own).len();
        view.loads.backlog_tokens(clock::now_ms(), own, &request.service, workers)
    }
}

/// Logs why a prompt is rejected. Without a cause it is rejected only by the share of its team,
/// which is logged as [`Event::TeamShareApplied`].
fn log_rejection(
    view: &FleetView,
    request: &Request,
    load: &LoadAtHost,
    cause: Option<OverloadCause>,
) {
    let is_most_urgent = view.teams.is_most_urgent(&request.service, request.priority);
    match cause {
        Some(OverloadCause::Backlog { tokens, age_ms, wait_ms }) => log::info!(
            event = Event::PromptRejected.number(), id = request.id.as_str(),
            service = request.service.as_str(), backlog_tokens = tokens as u64,
            backlog_age_ms = age_ms, expected_ms = wait_ms as u64, target_ms = load.target_ms,
            team = request.team_text(), priority = request.priority,
            is_most_urgent = is_most_urgent;
            "prompt rejected: the backlog of this region is too large"
        ),
        Some(OverloadCause::Limit { limit }) => log::info!(
            event = Event::PromptRejected.number(), id = request.id.as_str(),
            service = request.service.as_str(), in_flight = load.in_flight, limit = limit,
            workers = load.workers, slot_use = load.slot_use, run_ms = load.run_ms as u64,
            target_ms = load.target_ms, team = request.team_text(), priority = request.priority,
            is_most_urgent = is_most_urgent;
            "prompt rejected: this host has as many requests in flight as are answered in time"
        ),
        Some(OverloadCause::Deferred) => log::info!(
            event = Event::PromptRejected.number(), id = request.id.as_str(),
            service = request.service.as_str(), in_flight = load.in_flight,
            target_ms = load.target_ms, team = request.team_text(), priority = request.priority,
            input_tokens = request.prompt.input_tokens;
            "prompt deferred: requests with less time are rejected"
        ),
        None => (),
    }
}

/// Whether a prompt is long and its route allows it much more time than others have.
fn has_slack(view: &FleetView, request: &Request) -> bool {
    if !admission::may_reject(&request.prompt) {
        return false;
    }
    let configuration = view.configuration.as_ref();
    let shortest_ms = configuration.and_then(|configuration| {
        configuration.shortest_target_ms(&request.service, request.priority)
    });
    let target_ms = request.route.target_latency_ms;
    shortest_ms.is_some_and(|shortest_ms| deferral::has_slack(target_ms, shortest_ms))
}
