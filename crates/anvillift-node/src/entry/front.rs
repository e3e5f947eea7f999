//! Connections of callers, and of entry hosts that forward requests: reads each
//! request within the configured limits and passes it to admission.

use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::CallerLimits;
use anvillift_http::{ClosingListener, Connection, Framing, HeadLimits, HttpError, RequestHead};
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use crate::entry::Entry;
use crate::entry::attempts::Attempts;
use crate::entry::request_failure::RequestFailure;
use crate::entry::request_progress::RequestProgress;
use crate::entry::served_request::ServedRequest;
use crate::entry::stream_lookup::LookupOutcome;
use crate::entry::wait::WaitOutcome;
use crate::fleet_view::FleetView;
use crate::respond::Reply;
use crate::{clock, listen};

/// Time for which an idle connection is kept beyond the configured idle timeout,
/// in milliseconds.
const IDLE_MARGIN_MS: u64 = 3_000;
/// Timeout assumed for a request without a deadline field when it waits at a host
/// that has just started, in milliseconds.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 2_000;
/// `Retry-After` while the memory for bodies is exhausted, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

/// Longest time for which the rest of a refused request is read and discarded, so that its sender
/// gets the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Kind of client at the other end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(crate) enum Origin {
    #[display("caller")]
    Caller,
    /// Another entry host, which forwards a caller's request.
    #[display("host")]
    Host,
}

/// Whether a connection stays open after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionAction {
    Keep,
    Close,
}

/// Starts a task that accepts connections and serves their requests, until the planned
/// stop closes the listening socket.
pub(crate) fn serve(entry: &Rc<Entry>, listener: TcpListener, origin: Origin) {
    let accepting = accept_connections(Rc::clone(entry), listener, origin);
    entry.accepting.borrow_mut().push(task::spawn_local(accepting));
}

/// Accepts connections until the listening socket is closed.
async fn accept_connections(entry: Rc<Entry>, listener: TcpListener, origin: Origin) {
    loop {
        // `notify_waiters` stores no permit: a notification that arrives together with a
        // connection would be lost if the connection were taken first.
        tokio::select! {
            biased;
            () = entry.accepting_ends.notified() => break,
            stream = listen::accept(&listener) => serve_connection(&entry, stream, origin),
        }
    }
    let mut listener = ClosingListener::new(listener);
    while let Some(stream) = listen::accept_last(&mut listener).await {
        serve_connection(&entry, stream, origin);
    }
}

fn serve_connection(entry: &Rc<Entry>, stream: TcpStream, origin: Origin) {
    let entry = Rc::clone(entry);
    task::spawn_local(async move {
        let mut connection = Connection::new(stream);
        while entry.serve_next(&mut connection, origin).await == ConnectionAction::Keep {}
    });
}

impl Entry {
    /// Waits for the next request of a connection, reads it and serves it.
    async fn serve_next(&self, connection: &mut Connection, origin: Origin) -> ConnectionAction {
        let limits = self
            .node
            .view
            .borrow()
            .configuration
            .as_ref()
            .map(|configuration| configuration.limits);
        let limits = limits.unwrap_or_default();
        if !connection.has_buffered() {
            let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
            match time::timeout(idle, connection.fill()).await {
                Ok(Ok(read)) if read > 0 => (),
                _ => return ConnectionAction::Close,
            }
        }
        // A planned stop waits for a request from its first byte on.
        let served = self.served.begin();
        tokio::select! {
            biased;
            action = self.serve_received(connection, origin, limits, &served) => action,
            () = self.requests_end() => self.end_at_stop(connection, &served, origin).await,
        }
    }

    /// Reads a request of which the first bytes have arrived, and serves it.
    async fn serve_received(
        &self,
        connection: &mut Connection,
        origin: Origin,
        limits: CallerLimits,
        served: &Rc<ServedRequest>,
    ) -> ConnectionAction {
        let header_timeout = Duration::from_millis(limits.header_timeout_ms);
        let of_caller = HeadLimits { bytes: limits.header_bytes, ..HeadLimits::default() };
        let head_limits = match origin {
            Origin::Caller => of_caller,
            Origin::Host => of_caller.of_relayed(),
        };
        let read = connection.read_request(head_limits);
        let head = match time::timeout(header_timeout, read).await {
            Ok(Ok(head)) => head,
            Ok(Err(error)) => return self.reject_unreadable(connection, served, &error).await,
            Err(_) => {
                return self
                    .reject(connection, served, Code::SlowSender, "header not received in time")
                    .await;
            }
        };
        let arrived_ms = clock::now_ms();
        served.set_id(head.headers.get(self.node.dialect.headers.request_id).unwrap_or("-"));
        let framing = match Framing::of_request(&head) {
            Ok(framing) => framing,
            Err(error) => return self.reject_unreadable(connection, served, &error).await,
        };
        let read = self.read_body(connection, served, &head, framing, limits.body_bytes).await;
        let body = match read {
            Ok(body) => body,
            Err(action) => return action,
        };
        let _reservation = body.reservation;
        self.serve_request(connection, served, head, body.bytes, origin, arrived_ms).await
    }

    async fn serve_request(
        &self,
        connection: &mut Connection,
        served: &Rc<ServedRequest>,
        head: RequestHead,
        body: Option<Bytes>,
        origin: Origin,
        arrived_ms: u64,
    ) -> ConnectionAction {
        let keep_alive = head.keeps_alive();
        let target = head.target.clone();
        let caller_timeout_ms = self.caller_timeout_ms(&head);
        if origin == Origin::Caller {
            let is_satisfied = |view: &FleetView| view.configuration.is_some();
            if self.wait_until(connection, served.id(), caller_timeout_ms, is_satisfied).await
                == WaitOutcome::CallerLeft
            {
                return ConnectionAction::Close;
            }
        }
        let peer = connection.peer().map(|address| address.ip());
        let mut request = match self.admit(served, head, body, origin, peer, arrived_ms) {
            Ok(request) => request,
            Err(failure) => {
                log::info!(
                    event = Event::RequestAbandoned.number(), id = served.id(), target = target,
                    code = failure.code.number(), status = failure.code.status(),
                    version = self.node.view.borrow().control.version, origin = origin.to_string(),
                    cause = failure.cause;
                    "given up: {}", failure.code.title()
                );
                let reply = self.failure_reply(failure, origin);
                return self.reply(connection, served, reply, keep_alive).await;
            }
        };
        if origin == Origin::Caller {
            self.dispatch.borrow_mut().retries.record_request(arrived_ms, &request.service);
            let is_satisfied = |view: &FleetView| {
                self.has_free_worker(view, &request) || self.is_declined_by_workers(view, &request)
            };
            let waited =
                self.wait_until(connection, &request.id, caller_timeout_ms, is_satisfied).await;
            if waited == WaitOutcome::CallerLeft {
                return ConnectionAction::Close;
            }
        }
        match self.find_stream_version(connection, &request).await {
            LookupOutcome::Found(version_constraint) => {
                request.version_constraint = version_constraint;
                self.forward(connection, &request, keep_alive).await
            }
            LookupOutcome::Unknown => {
                let attempts = Attempts::of(&request);
                let failure = RequestFailure::STREAM_UNKNOWN;
                self.reply_failure(connection, &request, &attempts, failure, keep_alive).await
            }
            LookupOutcome::CallerLeft => ConnectionAction::Close,
        }
    }

    /// Timeout of a request as stated by its caller, in milliseconds.
    fn caller_timeout_ms(&self, head: &RequestHead) -> u64 {
        let field = self.node.dialect.headers.deadline_ms;
        let stated = head.headers.get(field).and_then(|text| text.parse().ok());
        stated.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS)
    }

    pub(super) async fn reject_unreadable(
        &self,
        connection: &mut Connection,
        served: &ServedRequest,
        error: &HttpError,
    ) -> ConnectionAction {
        let code = match error {
            HttpError::Closed | HttpError::Incomplete | HttpError::Io { .. } => {
                return ConnectionAction::Close;
            }
            HttpError::HeadTooLarge { .. } => Code::HeadTooLarge,
            HttpError::BodyTooLarge { .. } => Code::BodyTooLarge,
            _ => Code::MalformedRequest,
        };
        self.reject(connection, served, code, &error.to_string()).await
    }

    /// Answers a request that can't be read, and closes the connection.
    pub(super) async fn reject(
        &self,
        connection: &mut Connection,
        served: &ServedRequest,
        code: Code,
        detail: &str,
    ) -> ConnectionAction {
        log::info!(
            event = Event::RequestUnreadable.number(), code = code.number();
            "request rejected while reading it: {detail}"
        );
        let mut reply = self.node.error_reply(code, &format!("{}: {detail}", code.title()));
        if code == Code::Overloaded {
            reply = reply.retry_after_ms(OVERLOADED_RETRY_MS);
        }
        let action = self.reply(connection, served, reply, false).await;
        // Closing a connection with unread bytes would reset it before the answer is read.
        time::timeout(DISCARD_TIMEOUT, connection.discard_until_close()).await.ok();
        action
    }

    /// Writes an answer that this host produces itself, and counts it.
    pub(crate) async fn reply(
        &self,
        connection: &Connection,
        served: &ServedRequest,
        reply: Reply,
        keep_alive: bool,
    ) -> ConnectionAction {
        let keep_alive = keep_alive && !self.node.is_leaving();
        let reply = if keep_alive { reply } else { reply.close_connection() };
        metrics::counter!("anvillift_own_answers_total", "status" => reply.status.to_string())
            .increment(1);
        served.set_progress(RequestProgress::Answering);
        match reply.write(connection).await {
            Ok(()) if keep_alive => ConnectionAction::Keep,
            _ => ConnectionAction::Close,
        }
    }
}
