//! Resumes a stalled or truncated stream at another worker.
//!
//! A stalled stream has a worker that may still work on it. Both workers may have the request for
//! [`HAND_OVER_TIME`] only. Within it the other one may refuse, and the stream stays where it is;
//! after it the request is cancelled at the first one, whatever becomes of it at the other.

use std::pin::pin;
use std::time::Duration;

use anvillift_fleet::retry_decision::AttemptEnd;
use anvillift_fleet::{Route, VersionConstraint};
use anvillift_http::Connection;
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::answer_log::EndedResponse;
use crate::entry::attempt::AttemptOutcome;
use crate::entry::attempts::{Attempts, StartedAttempt};
use crate::entry::request::Request;
use crate::entry::response_writer::ResponseWriter;
use crate::entry::upstream_response::UpstreamResponse;

/// Shortest pause after which a resumable stream counts as stalled, in
/// milliseconds. It is longer than 1.5 s, since a worker or host may be silent for that long and
/// must then go on with the stream itself.
const MIN_STALL_TIMEOUT_MS: u64 = 1_800;
/// Time after which the request is cancelled at the worker of a stalled stream. With the way of
/// the cancellation it is less than the 0.4 s for which two workers may work on a request.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);
/// Shortest pause in a stream after which its caller leaves, in milliseconds.
const MIN_CALLER_PATIENCE_MS: u64 = 2_000;
/// Multiples of the route's target latency and of its target gap between events, of which the
/// longest is the pause after which a caller leaves.
const CALLER_PATIENCE_LATENCIES: u64 = 4;
const CALLER_PATIENCE_GAPS: u64 = 8;
/// Multiple of the route's target gap between events after which a resumable
/// stream counts as stalled.
const STALL_TIMEOUT_GAPS: u64 = 3;

/// How a stalled stream continues.
pub(super) enum HandOver {
    /// At the other worker, or where it was if that one refused.
    Continues(Box<UpstreamResponse>),
    /// It was cancelled at the first worker, and the other one did not answer.
    Ended(EndedResponse),
}

impl Entry {
    /// Pause after which the stream counts as stalled, or `None` if it can't be
    /// resumed at another worker.
    pub(super) fn stall_timeout(
        &self,
        request: &Request,
        attempts: &Attempts,
        writer: &ResponseWriter,
    ) -> Option<Duration> {
        writer.events.as_ref().filter(|_| writer.has_started() && writer.can_switch)?;
        let state = attempts.state(request, self.is_suspected(request));
        if state.run_count >= state.max_runs || !self.can_try_another(request, attempts) {
            return None;
        }
        Some(Duration::from_millis(stall_ms(&request.route)))
    }

    /// Continues a stalled stream at another worker, if one takes it.
    pub(super) async fn hand_over(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &mut Attempts,
        writer: &mut ResponseWriter,
        stalled: UpstreamResponse,
    ) -> HandOver {
        writer.can_switch = false;
        let (ended, version) = (EndedResponse::of(&stalled), stalled.version.clone());
        let mut stalled = Some(stalled);
        let resumed = {
            let paused_ms = stall_ms(&request.route);
            let resuming = self.resume(caller, request, attempts, writer, version, paused_ms);
            let mut resuming = pin!(resuming);
            tokio::select! {
                resumed = &mut resuming => resumed,
                () = time::sleep(HAND_OVER_TIME) => {
                    self.cancel_stalled(request, stalled.take());
                    resuming.await
                }
            }
        };
        match (resumed, stalled) {
            (Some(next), stalled) => {
                self.cancel_stalled(request, stalled);
                HandOver::Continues(Box::new(next))
            }
            (None, Some(stalled)) => HandOver::Continues(Box::new(stalled)),
            (None, None) => HandOver::Ended(ended),
        }
    }

    fn cancel_stalled(&self, request: &Request, stalled: Option<UpstreamResponse>) {
        let Some(stalled) = stalled else { return };
        self.record_unanswered(request, &stalled.target, stalled.sent_ms);
        self.abandon_upstream(request, stalled, "stream stalled; sent to another worker");
    }

    /// Makes attempts until another worker resumes the stream after the last
    /// complete event. Once an event was sent, only workers of `version`, which sent it,
    /// may do so, and a worker has to answer before the caller leaves for the pause, of which
    /// `paused_ms` have passed. Returns `None` if no further attempt is allowed, the version is
    /// unknown or the caller left.
    pub(super) async fn resume(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &mut Attempts,
        writer: &mut ResponseWriter,
        version: Option<Name>,
        paused_ms: u64,
    ) -> Option<UpstreamResponse> {
        let last_id = writer.events.as_ref()?.last_id().map(str::to_owned);
        let mut answer_by_ms = u64::MAX;
        if writer.first_write_ms.is_some() {
            attempts.version_constraint = VersionConstraint::Only(version?);
            let left_ms = caller_patience_ms(&request.route).saturating_sub(paused_ms);
            answer_by_ms = clock::now_ms() + left_ms;
            self.wait_until_caught_up().await;
        }
        let mut end = AttemptEnd::Broken;
        loop {
            if self.outcome_after(request, attempts, end).is_some() {
                return None;
            }
            let target = self.next_target(request, attempts)?;
            let mut started = self.start_attempt(request, attempts, target);
            let timeout_ms =
                answer_by_ms.saturating_sub(clock::now_ms()).min(request.remaining_ms());
            let target = &started.target;
            let outcome = self
                .attempt(caller, request, target, last_id.as_deref(), timeout_ms, || true)
                .await;
            match outcome {
                AttemptOutcome::Answered(response)
                    if writer.is_continued_by(&response, request) =>
                {
                    attempts.run_count += 1;
                    writer.events.as_mut()?.resume();
                    self.record_response(request, &mut started, response.head.status);
                    return Some(UpstreamResponse::new(request, started, *response));
                }
                AttemptOutcome::Answered(response) => {
                    let status = response.head.status;
                    let reason = format!("answer with {status} instead of the resumed stream");
                    end = self.finish_broken(request, attempts, started, &reason);
                }
                AttemptOutcome::CallerLeft => {
                    self.record_unanswered(request, &started.target, started.began_ms);
                    self.finish_attempt(request, started, None, "caller_left", "");
                    return None;
                }
                AttemptOutcome::NoResponse(AttemptEnd::Broken, reason) => {
                    end = self.finish_broken(request, attempts, started, &reason);
                }
                AttemptOutcome::NoResponse(failure, reason) => {
                    if failure == AttemptEnd::TimedOut {
                        self.record_unanswered(request, &started.target, started.began_ms);
                    }
                    self.finish_attempt(
                        request,
                        started,
                        Some(false),
                        &failure.to_string(),
                        &reason,
                    );
                    end = failure;
                }
            }
        }
    }

    /// Logs and records the end of an attempt that a worker may have executed
    /// without resuming the stream.
    fn finish_broken(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        started: StartedAttempt,
        reason: &str,
    ) -> AttemptEnd {
        attempts.run_count += 1;
        self.record_unanswered(request, &started.target, started.began_ms);
        self.finish_attempt(request, started, Some(false), "broken", reason);
        AttemptEnd::Broken
    }
}

/// Pause after which a stream of a route counts as stalled, in milliseconds.
fn stall_ms(route: &Route) -> u64 {
    (route.target_gap_ms * STALL_TIMEOUT_GAPS).max(MIN_STALL_TIMEOUT_MS)
}

/// Pause after which the caller of a stream leaves, in milliseconds.
fn caller_patience_ms(route: &Route) -> u64 {
    let by_latency = route.target_latency_ms * CALLER_PATIENCE_LATENCIES;
    let by_gap = route.target_gap_ms * CALLER_PATIENCE_GAPS;
    MIN_CALLER_PATIENCE_MS.max(by_latency).max(by_gap)
}
