//! Records the start, the response and the end of an attempt, in the state from which targets are
//! chosen and in the log.

use anvillift_fleet::WorkerStart;
use anvillift_fleet::retry_decision::{AttemptEnd, FinalOutcome};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempts::{Attempts, StartedAttempt};
use crate::entry::request::Request;
use crate::entry::request_progress::RequestProgress;
use crate::entry::target::Target;

impl Entry {
    /// Counts an attempt that is about to be made as in flight.
    pub(crate) fn start_attempt(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        target: Target,
    ) -> StartedAttempt {
        attempts.attempt_count += 1;
        attempts.tried.insert(target.name.clone());
        let began_ms = clock::now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        if !target.is_host {
            let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
            dispatch.limit_share.record_sent(began_ms, &worker);
        }
        let in_flight = dispatch.request_sent(began_ms, &target.name, &request.prompt);
        StartedAttempt { target, in_flight, began_ms }
    }

    /// Records that the response of an attempt has started.
    pub(crate) fn record_response(
        &self,
        request: &Request,
        started: &mut StartedAttempt,
        status: u16,
    ) {
        let now_ms = clock::now_ms();
        let (route, first_ms) = (&request.route.name, now_ms - started.began_ms);
        self.record_answering(&started.target, started.began_ms);
        if !started.target.is_host {
            self.record_prompt_speed(request, first_ms);
            self.record_latency(request, started.began_ms, first_ms);
            self.record_call_time(request, first_ms, status);
            self.record_worker_speed(request, &started.target, first_ms, status);
        }
        self.dispatch.borrow_mut().response_started(
            now_ms,
            &mut started.in_flight,
            route,
            first_ms,
        );
    }

    /// Logs and records the end of an attempt whose response is not relayed.
    /// `success` is whether the worker served it successfully, or `None` if the
    /// attempt shows nothing about the worker.
    pub(crate) fn finish_attempt(
        &self,
        request: &Request,
        started: StartedAttempt,
        success: Option<bool>,
        outcome: &str,
        reason: &str,
    ) {
        log_attempt(request, &started, outcome, reason);
        self.dispatch.borrow_mut().request_ended(clock::now_ms(), started.in_flight, success);
        self.notify_waiting();
    }

    /// Logs and records the end of an attempt without a response. Returns how the
    /// request ends, or `None` if another attempt follows.
    pub(crate) fn finish_without_response(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        started: StartedAttempt,
        end: AttemptEnd,
        reason: &str,
    ) -> Option<FinalOutcome> {
        let may_have_run = matches!(end, AttemptEnd::Broken | AttemptEnd::TimedOut);
        attempts.run_count += u32::from(may_have_run);
        let is_unreachable = end == AttemptEnd::NotSent && !started.target.is_host;
        attempts.unreachable_workers += u32::from(is_unreachable);
        if attempts.run_count == 0 {
            request.served.set_progress(RequestProgress::NotRun);
        }
        if may_have_run {
            self.record_unanswered(request, &started.target, started.began_ms);
        }
        self.finish_attempt(request, started, Some(false), &end.to_string(), reason);
        self.outcome_after(request, attempts, end)
    }
}

/// Logs the end of an attempt.
pub(super) fn log_attempt(
    request: &Request,
    started: &StartedAttempt,
    outcome: &str,
    reason: &str,
) {
    let StartedAttempt { target, began_ms, .. } = started;
    log::info!(
        event = Event::AttemptEnded.number(), id = request.id.as_str(),
        route = request.route.name.as_str(), to = target.name.as_str(), chosen = target.reason.to_string(),
        outcome = outcome, reason = reason, waited_ms = clock::now_ms() - began_ms,
        worker_born_ms = target.born_ms,
        worker_version = target.version.as_ref().map_or("", Name::as_str),
        resumes = request.resumes.as_ref().map_or("", Name::as_str), parts = request.parts_text(),
        fingerprint = request.fingerprint_text(), team = request.team_text(),
        age_ms = request.age_ms(), left_ms = request.remaining_ms(), version = request.version;
        "attempt"
    );
}
