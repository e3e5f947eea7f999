//! Sequence of attempts for a request: picks targets, decides whether to try
//! another one, and records the start and end of each attempt.

use anvillift_fleet::retry_decision::{AttemptEnd, FinalOutcome, NextStep};
use anvillift_fleet::{RepeatKind, retry_decision};
use anvillift_http::Connection;
use anvillift_schema::event::Event;

use crate::entry::attempt::{AttemptOutcome, StartedResponse};
use crate::entry::attempts::Attempts;
use crate::entry::counted_quota::CountedQuota;
use crate::entry::front::ConnectionAction;
use crate::entry::load_decision::LoadDecision;
use crate::entry::quota::QuotaOutcome;
use crate::entry::relay::RelayEnd;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::entry::target::Target;
use crate::entry::wait::WaitOutcome;
use crate::entry::{Entry, attempt_records};

impl Entry {
    /// Makes attempts until a response can be relayed or no further attempt is
    /// allowed, and answers the caller.
    pub(crate) async fn forward(
        &self,
        caller: &mut Connection,
        request: &Request,
        keep_alive: bool,
    ) -> ConnectionAction {
        if request.route.kind == RepeatKind::ResumableStream {
            self.wait_until_caught_up().await;
        }
        let mut attempts = Attempts::of(request);
        let mut counted: Option<CountedQuota<'_>> = None;
        let mut permit = self.begin_trial(request);
        loop {
            let Some(mut target) = self.next_target(request, &attempts) else {
                if self.may_wait_for_host(request, &attempts) {
                    match self.wait_for_host(caller, request, &mut attempts).await {
                        WaitOutcome::Finished => continue,
                        WaitOutcome::CallerLeft => return ConnectionAction::Close,
                    }
                }
                let end = if attempts.run_count > 0 {
                    FinalOutcome::Unknown
                } else {
                    FinalOutcome::Refused
                };
                return self.reply_end(caller, request, &attempts, end, keep_alive).await;
            };
            // Checked before the quota is used, and again if the target changed during the wait
            // for a grant.
            if attempts.run_count == 0 && !target.is_host {
                match self.decide_by_load(request, &attempts) {
                    LoadDecision::Admit => (),
                    LoadDecision::Forward(other) => target = other,
                    LoadDecision::Reject(failure) => {
                        return self
                            .reply_failure(caller, request, &attempts, failure, keep_alive)
                            .await;
                    }
                }
            }
            if counted.is_none() {
                match self.count_quota(caller, request).await {
                    QuotaOutcome::Counted(quota) => {
                        let has_waited = quota.has_waited;
                        counted = Some(quota);
                        if has_waited {
                            // The target may have failed in the meantime.
                            continue;
                        }
                    }
                    QuotaOutcome::Refused(failure) => {
                        return self
                            .reply_failure(caller, request, &attempts, failure, keep_alive)
                            .await;
                    }
                    QuotaOutcome::CallerLeft => return ConnectionAction::Close,
                }
            }
            let mut started = self.start_attempt(request, &mut attempts, target);
            let response_timeout_ms = self.response_timeout_ms(request, &attempts);
            let can_switch = || self.can_try_another(request, &attempts);
            let outcome = self
                .attempt(caller, request, &started.target, None, response_timeout_ms, can_switch)
                .await;
            let is_unsent = matches!(&outcome, AttemptOutcome::NoResponse(AttemptEnd::NotSent, _));
            if !is_unsent && let Some(counted) = &mut counted {
                counted.keep();
            }
            if !is_unsent && let Some(permit) = &mut permit {
                permit.keep();
            }
            match outcome {
                AttemptOutcome::CallerLeft => {
                    self.record_unanswered(request, &started.target, started.began_ms);
                    self.finish_attempt(request, started, None, "caller_left", "");
                    return ConnectionAction::Close;
                }
                AttemptOutcome::Answered(response) => {
                    attempts.run_count += 1;
                    self.record_response(request, &mut started, response.head.status);
                    if !self.should_retry_failure(request, &attempts, &started.target, &response) {
                        attempt_records::log_attempt(request, &started, "answered", "");
                        let relayed =
                            self.relay(caller, request, started, *response, attempts, keep_alive);
                        let end = match relayed.await {
                            RelayEnd::Answered(action) => return action,
                            RelayEnd::NothingSent(so_far, end) => {
                                attempts = so_far;
                                self.outcome_after(request, &attempts, end)
                            }
                        };
                        if let Some(end) = end {
                            return self
                                .reply_end(caller, request, &attempts, end, keep_alive)
                                .await;
                        }
                        continue;
                    }
                    self.finish_attempt(request, started, Some(true), "failed", "");
                    drain_body(*response).await;
                }
                AttemptOutcome::NoResponse(end, reason) => {
                    let end =
                        self.finish_without_response(request, &mut attempts, started, end, &reason);
                    if let Some(end) = end {
                        return self.reply_end(caller, request, &attempts, end, keep_alive).await;
                    }
                }
            }
        }
    }

    /// Answers the caller of a request that gets no response.
    async fn reply_end(
        &self,
        caller: &Connection,
        request: &Request,
        attempts: &Attempts,
        end: FinalOutcome,
        keep_alive: bool,
    ) -> ConnectionAction {
        let failure = self.failure_of(request, attempts, end);
        self.reply_failure(caller, request, attempts, failure, keep_alive).await
    }

    /// The failure that corresponds to the final decision about a request.
    fn failure_of(
        &self,
        request: &Request,
        attempts: &Attempts,
        end: FinalOutcome,
    ) -> RequestFailure {
        match end {
            FinalOutcome::Refused => self.refusal(request, attempts),
            FinalOutcome::TimedOut => RequestFailure::TIMED_OUT,
            FinalOutcome::Unknown | FinalOutcome::PassOn => RequestFailure::OUTCOME_UNKNOWN,
        }
    }

    /// How a request ends after an attempt, or `None` if another attempt follows.
    /// Takes a retry from the retry budget if the next attempt needs one.
    pub(crate) fn outcome_after(
        &self,
        request: &Request,
        attempts: &Attempts,
        end: AttemptEnd,
    ) -> Option<FinalOutcome> {
        let state = attempts.state(request, self.is_suspected(request));
        match retry_decision::next_step(end, &state) {
            NextStep::TryAnother => None,
            NextStep::End(end) => Some(end),
            NextStep::RetryElse(end) => (!self.spend_retry(request)).then_some(end),
        }
    }

    /// How long to wait for the head of the next response, in milliseconds: up to
    /// the deadline, unless another worker may execute the request as well.
    fn response_timeout_ms(&self, request: &Request, attempts: &Attempts) -> u64 {
        let remaining_ms = request.remaining_ms();
        let state = attempts.state(request, self.is_suspected(request));
        if !state.kind.may_repeat() || state.run_count + 1 >= state.max_runs {
            return remaining_ms;
        }
        let route = &request.route;
        let dispatch = self.dispatch.borrow();
        dispatch.answer_timeouts.timeout_ms(&route.name, route.target_latency_ms).min(remaining_ms)
    }

    /// Whether a failure response should be discarded and another worker tried:
    /// the worker fails often, and another target and attempt are available.
    fn should_retry_failure(
        &self,
        request: &Request,
        attempts: &Attempts,
        target: &Target,
        response: &StartedResponse,
    ) -> bool {
        let is_failure = response.head.status >= 500;
        if !self.dispatch.borrow_mut().record_status(&target.name, is_failure) {
            return false;
        }
        let has_other_target = self.next_target(request, attempts).is_some();
        has_other_target && self.outcome_after(request, attempts, AttemptEnd::Failed).is_none()
    }

    /// Logs a failed request and answers the caller.
    pub(crate) async fn reply_failure(
        &self,
        caller: &Connection,
        request: &Request,
        attempts: &Attempts,
        failure: RequestFailure,
        keep_alive: bool,
    ) -> ConnectionAction {
        log::info!(
            event = Event::RequestAbandoned.number(), id = request.id.as_str(),
            route = request.route.name.as_str(), service = request.service.as_str(),
            code = failure.code.number(), status = failure.code.status(), sent = attempts.attempt_count,
            ran = attempts.run_count, age_ms = request.age_ms(), version = request.version,
            team = request.team_text(), origin = request.origin.to_string(), cause = failure.cause;
            "given up: {}", failure.code.title()
        );
        let reply = self.failure_reply(failure, request.origin);
        self.reply(caller, &request.served, reply, keep_alive).await
    }
}

/// Reads and discards the body of a response that is not relayed, so that its
/// connection can be reused.
async fn drain_body(response: StartedResponse) {
    const MAX_DRAINED_BYTES: u64 = 64 * 1024;
    const DRAIN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(20);
    let StartedResponse { mut lease, head, mut body, answered_early, .. } = response;
    let Ok(connection) = lease.connection() else { return };
    let read = connection.read_full_body(&mut body, MAX_DRAINED_BYTES);
    let is_complete = matches!(tokio::time::timeout(DRAIN_TIMEOUT, read).await, Ok(Ok(_)));
    if is_complete && !answered_early {
        lease.release(&head);
    }
}
