//! Relays a response to the caller as it arrives.
//!
//! The head is withheld until the first bytes of the body arrive, so that another
//! worker can still answer if this one fails before. A truncated response resets
//! the caller's connection without the final chunk, so that the caller can't take
//! it for a complete one.

use std::io;
use std::time::Duration;

use anvillift_fleet::{EventPosition, EventSplitter, InFlightRequest, TruncatedStream};
use anvillift_http::{BodyReader, Connection, Framing, HttpError, ResponseHead};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempt::{STREAM_VERSION_HEADER, StartedResponse};
use crate::entry::forward::{Attempts, StartedAttempt};
use crate::entry::front::{ConnectionAction, Origin};
use crate::entry::pool::Lease;
use crate::entry::request::Request;
use crate::entry::target::Target;

/// Media type of a stream of server-sent events.
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// The response that is being relayed. It is replaced when the stream is resumed
/// at another worker.
pub(super) struct UpstreamResponse {
    pub(super) target: Target,
    in_flight: InFlightRequest,
    pub(super) lease: Lease,
    pub(super) head: ResponseHead,
    pub(super) body: BodyReader,
    framing: Framing,
    /// Version of the software of the worker, or `None` if it isn't known.
    version: Option<Name>,
    /// Position in the stream of events; `None` for other responses.
    position: Option<EventPosition>,
    pub(super) answered_early: bool,
}

impl UpstreamResponse {
    pub(super) fn new(
        request: &Request,
        started: StartedAttempt,
        response: StartedResponse,
    ) -> Self {
        let StartedResponse { lease, head, body, framing, version, answered_early } = response;
        let StartedAttempt { target, in_flight, .. } = started;
        let position = is_event_stream(request, &head, framing).then(EventPosition::default);
        Self { target, in_flight, lease, head, body, framing, version, position, answered_early }
    }

    async fn next_data(&mut self) -> Result<Option<Bytes>, HttpError> {
        let body = &mut self.body;
        let read = self.lease.connection()?.read_body(body).await?;
        if let (Some(position), Some(data)) = (&mut self.position, &read) {
            position.advance(data);
        }
        Ok(read)
    }

    /// Checks a body that has ended by its framing: a stream must not end inside an
    /// event, whatever the framing and the route.
    fn check_end(&self) -> Result<(), TruncatedStream> {
        let is_end_declared = self.framing != Framing::UntilClose;
        self.position.map_or(Ok(()), |position| position.check_end(is_end_declared))
    }
}

/// Facts about the last upstream response of an answer, for its log line.
struct EndedResponse {
    from: Name,
    status: u16,
    framing: Framing,
    /// Bytes after the last complete event of a stream, otherwise 0.
    partial_bytes: u64,
}

impl EndedResponse {
    fn of(upstream: &UpstreamResponse) -> Self {
        Self {
            from: upstream.target.name.clone(),
            status: upstream.head.status,
            framing: upstream.framing,
            partial_bytes: upstream.position.map_or(0, |position| position.partial_bytes()),
        }
    }
}

/// Next step of a relay.
enum RelayStep {
    Data(Bytes),
    Complete,
    /// The response ended or failed before it was complete; the text is the reason.
    Truncated(String),
    /// No data arrived for the stall timeout, and another worker could resume.
    Stalled,
    /// The deadline passed or the caller left; the text is the logged outcome.
    Abandoned(&'static str),
}

/// Writes the response to the caller's connection.
pub(super) struct ResponseWriter {
    /// Serialised head; `None` once it is written.
    head: Option<Vec<u8>>,
    is_chunked: bool,
    keep_alive: bool,
    /// Splits a resumable stream into events, of which only complete ones are
    /// written; `None` for other responses.
    pub(super) events: Option<EventSplitter>,
    /// Time of the first write, or `None` before.
    pub(super) first_write_ms: Option<u64>,
    /// Whether a stalled stream may still be moved to another worker, which is
    /// tried once per request.
    pub(super) can_switch: bool,
    chunks_written: u64,
    /// Longest pause between two writes.
    longest_pause_ms: u64,
    last_write_ms: u64,
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
    ) -> ConnectionAction {
        let keep_alive = keep_alive && !self.node.is_leaving();
        let mut writer = ResponseWriter::new(&response, request, keep_alive);
        let mut upstream = UpstreamResponse::new(request, started, response);
        loop {
            if !writer.has_started() {
                self.remember_stream(request, upstream.version.as_ref());
            }
            match self.next_step(caller, request, &attempts, &mut upstream, &writer).await {
                RelayStep::Data(data) => {
                    self.dispatch
                        .borrow_mut()
                        .bytes_received(clock::now_ms(), &upstream.target.name);
                    if writer.write(caller, &data).await.is_err() {
                        self.finish_response(request, upstream, &writer, None, "caller_left");
                        return ConnectionAction::Close;
                    }
                }
                RelayStep::Stalled => {
                    writer.can_switch = false;
                    let version = upstream.version.clone();
                    let resumed =
                        self.resume(caller, request, &mut attempts, &mut writer, version).await;
                    if let Some(next) = resumed {
                        // Dropping the connection cancels the request at the previous worker.
                        self.abandon_upstream(
                            request,
                            upstream,
                            "stream stalled; resumed at another worker",
                        );
                        upstream = next;
                    }
                }
                RelayStep::Truncated(reason) => {
                    let ended = EndedResponse::of(&upstream);
                    let version = upstream.version.clone();
                    self.abandon_upstream(request, upstream, &reason);
                    let resumed =
                        self.resume(caller, request, &mut attempts, &mut writer, version).await;
                    let Some(next) = resumed else {
                        record_answer(request, &ended, &writer, "truncated");
                        // The caller may take the stream up at another host right away.
                        self.announce_streams();
                        caller.reset_on_drop();
                        return ConnectionAction::Close;
                    };
                    upstream = next;
                }
                RelayStep::Complete => {
                    let success = upstream.head.status < 500;
                    let ended = writer.end(caller).await;
                    let keep_alive = writer.keep_alive && ended.is_ok();
                    self.finish_response(request, upstream, &writer, Some(success), "complete");
                    return if keep_alive {
                        ConnectionAction::Keep
                    } else {
                        ConnectionAction::Close
                    };
                }
                RelayStep::Abandoned(outcome) => {
                    self.finish_response(request, upstream, &writer, None, outcome);
                    caller.reset_on_drop();
                    return ConnectionAction::Close;
                }
            }
        }
    }

    /// Logs a stalled or truncated response and records its request as failed.
    fn abandon_upstream(&self, request: &Request, upstream: UpstreamResponse, reason: &str) {
        log_truncated(request, &upstream.target, reason);
        self.dispatch.borrow_mut().request_ended(clock::now_ms(), upstream.in_flight, Some(false));
    }

    async fn next_step(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &Attempts,
        upstream: &mut UpstreamResponse,
        writer: &ResponseWriter,
    ) -> RelayStep {
        let remaining = Duration::from_millis(request.remaining_ms());
        let read_timeout = self
            .stall_timeout(request, attempts, writer)
            .map_or(remaining, |timeout| timeout.min(remaining));
        tokio::select! {
            biased;
            read = time::timeout(read_timeout, upstream.next_data()) => match read {
                Ok(Ok(Some(data))) => RelayStep::Data(data),
                Ok(Ok(None)) => match upstream.check_end() {
                    Ok(()) => RelayStep::Complete,
                    Err(error) => RelayStep::Truncated(error.to_string()),
                },
                Ok(Err(error)) => RelayStep::Truncated(error.to_string()),
                Err(_) if request.remaining_ms() == 0 => RelayStep::Abandoned("timed_out"),
                Err(_) => RelayStep::Stalled,
            },
            () = caller.wait_for_close() => RelayStep::Abandoned("caller_left"),
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
        outcome: &str,
    ) {
        record_answer(request, &EndedResponse::of(&upstream), writer, outcome);
        self.dispatch.borrow_mut().request_ended(clock::now_ms(), upstream.in_flight, success);
        self.notify_waiting();
        if upstream.body.is_complete() && !upstream.answered_early && outcome == "complete" {
            upstream.lease.release(&upstream.head);
        }
    }
}

impl ResponseWriter {
    fn new(response: &StartedResponse, request: &Request, keep_alive: bool) -> Self {
        let is_resumable = request.route.kind.may_repeat() && request.route.kind.is_stream();
        let is_event_stream = is_event_stream(request, &response.head, response.framing);
        let splits_events = is_resumable && is_event_stream && response.head.status == 200;
        // A stream is sent without its length, so that its end can still be withheld
        // when it turns out to be truncated.
        let has_length =
            matches!(response.framing, Framing::None | Framing::Length(_)) && !is_event_stream;
        let is_chunked = !has_length && request.minor_version >= 1;
        let keep_alive = keep_alive && (has_length || is_chunked);
        let mut head = response.head.clone();
        head.headers.remove_hop_by_hop();
        head.headers.remove(STREAM_VERSION_HEADER);
        if let Some(version) = response.version.as_ref().filter(|_| request.origin == Origin::Host)
        {
            head.headers.push(STREAM_VERSION_HEADER, version.to_string());
        }
        if !has_length {
            head.headers.remove("content-length");
        }
        if is_chunked {
            head.headers.push("Transfer-Encoding", "chunked");
        }
        if !keep_alive {
            head.headers.push("Connection", "close");
        }
        let mut bytes = Vec::with_capacity(512);
        head.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        let events = splits_events.then(EventSplitter::default);
        Self {
            head: Some(bytes),
            is_chunked,
            keep_alive,
            events,
            first_write_ms: None,
            can_switch: true,
            chunks_written: 0,
            longest_pause_ms: 0,
            last_write_ms: 0,
        }
    }

    /// Whether the head has been written to the caller.
    pub(super) fn has_started(&self) -> bool {
        self.head.is_none()
    }

    async fn write(&mut self, caller: &Connection, data: &[u8]) -> io::Result<()> {
        let complete_events = self.events.as_mut().map(|events| events.push(data));
        let data = complete_events.as_deref().unwrap_or(data);
        if data.is_empty() {
            return Ok(());
        }
        self.record_write();
        let mut bytes = self.head.take().unwrap_or_default();
        if self.is_chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            bytes.extend_from_slice(data);
            bytes.extend_from_slice(b"\r\n");
        } else {
            bytes.extend_from_slice(data);
        }
        caller.write_all(&bytes).await
    }

    fn record_write(&mut self) {
        let now_ms = clock::now_ms();
        if self.first_write_ms.is_some() {
            self.longest_pause_ms = self.longest_pause_ms.max(now_ms - self.last_write_ms);
        }
        self.first_write_ms.get_or_insert(now_ms);
        self.last_write_ms = now_ms;
        self.chunks_written += 1;
    }

    async fn end(&mut self, caller: &Connection) -> io::Result<()> {
        self.first_write_ms.get_or_insert_with(clock::now_ms);
        let mut bytes = self.head.take().unwrap_or_default();
        if self.is_chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        caller.write_all(&bytes).await
    }
}

/// Whether a response is a stream of events: its content type says so, or it names
/// none and the route answers with streams.
fn is_event_stream(request: &Request, head: &ResponseHead, framing: Framing) -> bool {
    let is_success = (200..300).contains(&head.status);
    is_success
        && framing != Framing::None
        && head.headers.get("content-type").map_or(request.route.kind.is_stream(), |media_type| {
            media_type.trim_start().to_ascii_lowercase().starts_with(EVENT_STREAM_MEDIA_TYPE)
        })
}

/// Logs how the answer to a caller ended and records its metrics.
fn record_answer(
    request: &Request,
    response: &EndedResponse,
    writer: &ResponseWriter,
    outcome: &str,
) {
    let age_ms = request.age_ms();
    let first_ms = writer.first_write_ms.map_or(age_ms, |ms| ms - request.arrived_ms);
    log::info!(
        event = Event::AnswerEnded.number(), id = request.id.as_str(),
        route = request.route.name.as_str(), from = response.from.as_str(),
        status = response.status, first_ms = first_ms, age_ms = age_ms,
        parts = writer.chunks_written, pause_ms = writer.longest_pause_ms,
        framing = response.framing.to_string(), partial_bytes = response.partial_bytes,
        version = request.version;
        "answer {outcome}"
    );
    metrics::counter!("anvillift_answers_total", "outcome" => outcome.to_owned()).increment(1);
    metrics::histogram!("anvillift_first_byte_ms", "kind" => request.route.kind.to_string())
        .record(first_ms as f64);
    metrics::histogram!("anvillift_answer_ms", "kind" => request.route.kind.to_string())
        .record(age_ms as f64);
}

fn log_truncated(request: &Request, target: &Target, reason: &str) {
    log::warn!(
        event = Event::UpstreamFailed.number(), id = request.id.as_str(),
        from = target.name.as_str(), reason = reason, age_ms = request.age_ms();
        "response stalled or truncated"
    );
}
