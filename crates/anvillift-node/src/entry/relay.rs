//! Relays a response to the caller as it arrives.
//!
//! A truncated response resets the caller's connection without the final chunk, so that
//! the caller can't take it for a complete one. If nothing of it has been passed on, the
//! caller gets another final answer instead.

use std::time::Duration;

use anvillift_fleet::retry_decision::AttemptEnd;
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::entry::answer_log::EndedResponse;
use crate::entry::answer_outcome::AnswerOutcome;
use crate::entry::attempt::StartedResponse;
use crate::entry::attempts::{Attempts, StartedAttempt};
use crate::entry::front::ConnectionAction;
use crate::entry::request::Request;
use crate::entry::response_writer::ResponseWriter;
use crate::entry::resume::HandOver;
use crate::entry::target::Target;
use crate::entry::upstream_response::UpstreamResponse;
use crate::entry::{Entry, answer_log};

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: u64 = 256 * 1024;

/// Next step of a relay.
enum RelayStep {
    /// Data to write: complete events of a resumable stream, or what has arrived otherwise.
    Data(Bytes),
    Complete,
    /// The response ended or failed before it was complete; the text is the reason.
    Truncated(String),
    /// No data arrived for the stall timeout, and another worker could resume.
    Stalled,
    /// The deadline passed or the caller left.
    Abandoned(AnswerOutcome),
}

/// How a relay ended.
pub(super) enum RelayEnd {
    /// The answer is over, for better or worse.
    Answered(ConnectionAction),
    /// The response failed before any byte of it was passed on, so that the request can
    /// still be tried again, or gets another final answer.
    NothingSent(Attempts, AttemptEnd),
}

impl Entry {
    /// Relays a response to the caller until it is complete, or resumes it at
    /// other workers where possible.
    pub(super) async fn relay(
        &self,
        caller: &mut Connection,
        request: &Request,
        started: StartedAttempt,
        response: StartedResponse,
        mut attempts: Attempts,
        keep_alive: bool,
    ) -> RelayEnd {
        let keep_alive = keep_alive && !self.node.is_leaving();
        let mut writer = ResponseWriter::new(&response, request, keep_alive);
        let mut upstream = UpstreamResponse::new(request, started, response);
        loop {
            if !writer.has_started() {
                self.remember_stream(request, upstream.version.as_ref());
            }
            match self.next_step(caller, request, &attempts, &mut upstream, &mut writer).await {
                RelayStep::Data(data) => {
                    self.dispatch
                        .borrow_mut()
                        .bytes_received(clock::now_ms(), &upstream.target.name);
                    self.record_answering(&upstream.target, upstream.sent_ms);
                    let remaining = Duration::from_millis(request.remaining_ms());
                    let written = time::timeout(remaining, writer.write(caller, &data)).await;
                    let outcome = match written {
                        Ok(Ok(())) => continue,
                        Ok(Err(_)) => AnswerOutcome::CallerLeft,
                        // The caller reads too slowly.
                        Err(_) => AnswerOutcome::TimedOut,
                    };
                    self.finish_response(request, upstream, &writer, None, outcome);
                    caller.reset_on_drop();
                    return RelayEnd::Answered(ConnectionAction::Close);
                }
                RelayStep::Stalled => {
                    let handed_over =
                        self.hand_over(caller, request, &mut attempts, &mut writer, upstream).await;
                    upstream = match handed_over {
                        HandOver::Continues(next) => *next,
                        HandOver::Ended(ended) => {
                            return self.end_truncated(caller, request, &ended, &writer);
                        }
                    };
                }
                RelayStep::Truncated(reason) => {
                    let ended = EndedResponse::of(&upstream);
                    let version = upstream.version.clone();
                    self.record_broken_answer(request, &upstream.target);
                    self.abandon_upstream(request, upstream, &reason);
                    let resumed =
                        self.resume(caller, request, &mut attempts, &mut writer, version, 0).await;
                    upstream = match resumed {
                        Some(next) => next,
                        None if !writer.has_started() => {
                            let outcome = AnswerOutcome::Truncated;
                            answer_log::record_answer(request, &ended, &writer, outcome);
                            return RelayEnd::NothingSent(attempts, AttemptEnd::Broken);
                        }
                        None => return self.end_truncated(caller, request, &ended, &writer),
                    };
                }
                RelayStep::Complete => {
                    let success = upstream.head.status < 500;
                    self.record_served(request, upstream.head.status);
                    if let Some(first_ms) =
                        writer.first_write_ms.filter(|_| !upstream.target.is_host)
                    {
                        self.record_run_time(request, clock::now_ms() - first_ms);
                    }
                    let ended = writer.end(caller).await;
                    let keep_alive = writer.keep_alive && ended.is_ok();
                    self.finish_response(
                        request,
                        upstream,
                        &writer,
                        Some(success),
                        AnswerOutcome::Complete,
                    );
                    let action =
                        if keep_alive { ConnectionAction::Keep } else { ConnectionAction::Close };
                    return RelayEnd::Answered(action);
                }
                RelayStep::Abandoned(outcome) => {
                    self.record_unanswered(request, &upstream.target, upstream.sent_ms);
                    self.finish_response(request, upstream, &writer, None, outcome);
                    if outcome == AnswerOutcome::TimedOut && !writer.has_started() {
                        return RelayEnd::NothingSent(attempts, AttemptEnd::TimedOut);
                    }
                    caller.reset_on_drop();
                    return RelayEnd::Answered(ConnectionAction::Close);
                }
            }
        }
    }

    /// Ends an answer of which a part was passed on.
    fn end_truncated(
        &self,
        caller: &Connection,
        request: &Request,
        ended: &EndedResponse,
        writer: &ResponseWriter,
    ) -> RelayEnd {
        answer_log::record_answer(request, ended, writer, AnswerOutcome::Truncated);
        // The caller may take the stream up at another host right away.
        self.announce_streams();
        caller.reset_on_drop();
        RelayEnd::Answered(ConnectionAction::Close)
    }

    /// Logs a stalled or truncated response and records its request as failed. Its drop closes
    /// the connection, which cancels the request at the worker.
    pub(super) fn abandon_upstream(
        &self,
        request: &Request,
        upstream: UpstreamResponse,
        reason: &str,
    ) {
        log_truncated(request, &upstream.target, reason);
        self.dispatch.borrow_mut().request_ended(clock::now_ms(), upstream.in_flight, Some(false));
    }

    async fn next_step(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &Attempts,
        upstream: &mut UpstreamResponse,
        writer: &mut ResponseWriter,
    ) -> RelayStep {
        let remaining = Duration::from_millis(request.remaining_ms());
        if remaining.is_zero() {
            return RelayStep::Abandoned(AnswerOutcome::TimedOut);
        }
        let read_timeout = self
            .stall_timeout(request, attempts, writer)
            .map_or(remaining, |timeout| timeout.min(remaining));
        tokio::select! {
            biased;
            read = time::timeout(read_timeout, upstream.next_data()) => match read {
                Ok(Ok(Some(_))) if upstream.partial_bytes() > MAX_EVENT_BYTES => {
                    RelayStep::Truncated(format!("event larger than {MAX_EVENT_BYTES} bytes"))
                }
                Ok(Ok(Some(data))) => match writer.complete(data) {
                    Ok(data) => RelayStep::Data(data),
                    Err(error) => RelayStep::Truncated(error.to_string()),
                },
                Ok(Ok(None)) => match upstream.check_end() {
                    Ok(()) => RelayStep::Complete,
                    Err(error) => RelayStep::Truncated(error.to_string()),
                },
                Ok(Err(error)) => RelayStep::Truncated(error.to_string()),
                Err(_) if request.remaining_ms() == 0 => RelayStep::Abandoned(AnswerOutcome::TimedOut),
                Err(_) => RelayStep::Stalled,
            },
            () = caller.wait_for_close() => RelayStep::Abandoned(AnswerOutcome::CallerLeft),
        }
    }

    /// Records the end of a relayed response and returns its connection to the pool
    /// where possible.
    fn finish_response(
        &self,
        request: &Request,
        upstream: UpstreamResponse,
        writer: &ResponseWriter,
        success: Option<bool>,
        outcome: AnswerOutcome,
    ) {
        answer_log::record_answer(request, &EndedResponse::of(&upstream), writer, outcome);
        if !upstream.target.is_host {
            let (worker, arrival) = (&upstream.target.name, upstream.arrival());
            let speeds = &mut self.dispatch.borrow_mut().stream_speeds;
            speeds.record(worker, arrival.parts_after_first, arrival.elapsed_ms());
        }
        self.dispatch.borrow_mut().request_ended(clock::now_ms(), upstream.in_flight, success);
        self.notify_waiting();
        if upstream.body.is_complete()
            && !upstream.answered_early
            && outcome == AnswerOutcome::Complete
        {
            upstream.lease.release(&upstream.head);
        }
    }
}

fn log_truncated(request: &Request, target: &Target, reason: &str) {
    log::warn!(
        event = Event::UpstreamFailed.number(), id = request.id.as_str(),
        from = target.name.as_str(), worker_born_ms = target.born_ms, reason = reason,
        parts = request.parts_text(),
        fingerprint = request.fingerprint_text(), age_ms = request.age_ms();
        "response stalled or truncated"
    );
}
