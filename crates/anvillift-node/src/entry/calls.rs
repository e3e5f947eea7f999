//! Admission of requests without a prompt ("calls"): a call that the workers of this region are
//! not expected to answer within its target latency goes to another region or is rejected. The
//! policies are [`CallLimit`](anvillift_fleet::CallLimit) and [`spill::region_with_room`].

use anvillift_fleet::choose::Degradation;
use anvillift_fleet::spill::ROUND_TRIP_MS;
use anvillift_fleet::{CallDraws, CallLoad, WorkerEntry, spill};
use anvillift_schema::event::Event;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::load_decision::LoadDecision;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::entry::target::Target;
use crate::entry::target_reason::TargetReason;
use crate::fleet_view::FleetView;
use crate::log_budget::LogBudget;

/// Most log lines about rejected calls within a second.
const MAX_REJECTION_LINES_PER_S: u32 = 20;

/// Bounds the log lines about rejected calls.
pub(super) fn rejection_lines() -> LogBudget {
    LogBudget::new(MAX_REJECTION_LINES_PER_S)
}

impl Entry {
    /// Decides about a call that is about to be sent to a worker of this region.
    pub(super) fn decide_call(&self, request: &Request, attempts: &Attempts) -> LoadDecision {
        let view = self.node.view.borrow();
        let load = self.call_load(&view, request);
        if load.target_ms == 0 {
            return LoadDecision::Admit;
        }
        let is_most_urgent = view.teams.is_most_urgent(&request.service, request.priority);
        let key = (request.service.clone(), request.route.name.clone());
        let mut dispatch = self.dispatch.borrow_mut();
        let draws = CallDraws { favour: dispatch.rng.random(), rounding: dispatch.rng.random() };
        let retry_draw = dispatch.rng.random();
        let limit = dispatch.call_limits.entry(key).or_default();
        if limit.admits(clock::now_ms(), &load, is_most_urgent, draws) {
            return LoadDecision::Admit;
        }
        let retry_after_ms = limit.retry_after_ms(load.target_ms, retry_draw);
        let present_limit = limit.limit(&load);
        drop(dispatch);
        if let Some(target) = self.region_with_room(&view, request, attempts, &load) {
            count_decision("forwarded");
            return LoadDecision::Forward(target);
        }
        count_decision("rejected");
        self.log_call_rejection(request, &load, present_limit, is_most_urgent);
        LoadDecision::Reject(RequestFailure::at_limit(retry_after_ms))
    }

    /// A host of another region that has room for a call and is expected to answer it in time.
    fn region_with_room(
        &self,
        view: &FleetView,
        request: &Request,
        attempts: &Attempts,
        load: &CallLoad,
    ) -> Option<Target> {
        let target_ms = request.route.target_latency_ms as f64;
        let may_forward = request.origin == Origin::Caller && attempts.attempt_count == 0;
        if !may_forward || load.run_ms + ROUND_TRIP_MS as f64 > target_ms {
            return None;
        }
        let others = self.other_region_loads(view, request);
        let draw = self.dispatch.borrow_mut().rng.random();
        let region = spill::region_with_room(&others, draw)?;
        self.remote_target(view, request, attempts, Some(region), TargetReason::Load)
    }

    /// What this host knows of the workers of its region, for a call.
    pub(super) fn call_load(&self, view: &FleetView, request: &Request) -> CallLoad {
        let own = &self.node.settings.region;
        let ready = self.ready_workers(view, request, own);
        let now_ms = clock::now_ms();
        let target_ms = admission_target_ms(view, request);
        let dispatch = self.dispatch.borrow();
        // Without a target no call is overdue.
        let since_ms = if target_ms == 0 { 0 } else { (now_ms + 1).saturating_sub(target_ms) };
        let in_time = ready.iter().map(|worker| dispatch.sent_since(&worker.report.id, since_ms));
        let all = ready.iter().map(|worker| dispatch.in_flight(&worker.report.id).requests);
        let in_flight: u64 = in_time.sum();
        let answers = |worker: &&&WorkerEntry| {
            dispatch.degradation(now_ms, &worker.report.id) == Degradation::None
        };
        let slots = ready.iter().filter(answers).map(|worker| worker.report.slots.max(1));
        let run_time = dispatch.call_run_times.get(&request.service).copied().unwrap_or_default();
        CallLoad {
            in_flight,
            overdue: all.sum::<u64>() - in_flight,
            share: view.hosts.caller_share(own, &self.node.own_host().name),
            slots: slots.sum::<u64>() as f64,
            reported: view.loads.reported_calls(now_ms, own, &request.service),
            run_ms: run_time.average_ms(),
            target_ms,
        }
    }

    /// Records that a worker of this region has begun to answer a call.
    pub(super) fn record_call_time(&self, request: &Request, first_ms: u64, status: u16) {
        if request.prompt.input_tokens > 0 || !(200..300).contains(&status) {
            return;
        }
        let view = self.node.view.borrow();
        let batches = self.call_load(&view, request).batches();
        let mut dispatch = self.dispatch.borrow_mut();
        let run_time = dispatch.call_run_times.entry(request.service.clone()).or_default();
        run_time.record(first_ms, batches);
    }

    fn log_call_rejection(
        &self,
        request: &Request,
        load: &CallLoad,
        limit: Option<f64>,
        is_most_urgent: bool,
    ) {
        let Some(omitted) = self.call_rejection_lines.take(clock::now_ms()) else { return };
        log::info!(
            event = Event::CallRejected.number(), id = request.id.as_str(),
            route = request.route.name.as_str(), service = request.service.as_str(),
            in_flight = load.in_flight, overdue = load.overdue, limit = limit,
            share = load.share, slots = load.slots as u64, calls = load.calls() as u64,
            is_reported = load.reported.is_some(), run_ms = load.run_ms as u64,
            target_ms = load.target_ms, team = request.team_text(), priority = request.priority,
            is_most_urgent = is_most_urgent, omitted = omitted;
            "call rejected: the workers of this region have as many as they answer in time"
        );
    }
}

/// Target latency with which a call is admitted, in milliseconds; 0 if its route has none. It is
/// the shortest one of the routes that are at least as urgent: less urgent calls with more time
/// would otherwise fill the queues in which urgent ones wait.
fn admission_target_ms(view: &FleetView, request: &Request) -> u64 {
    let own_ms = request.route.target_latency_ms;
    let configuration = view.configuration.as_ref();
    let shortest_ms = configuration.and_then(|configuration| {
        configuration.shortest_target_ms(&request.service, request.priority)
    });
    shortest_ms.map_or(own_ms, |shortest_ms| own_ms.min(shortest_ms))
}

fn count_decision(decision: &'static str) {
    metrics::counter!("anvillift_call_limit_decisions_total", "decision" => decision).increment(1);
}
