//! Connections of callers, and of hosts that pass requests on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HttpError, RequestHead};
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::{task, time};

use crate::entry::Entry;
use crate::entry::wait::Waited;
use crate::node::Known;
use crate::respond::Reply;
use crate::{clock, listen};

/// Time beyond the idle limit for which a connection is kept, in milliseconds.
const IDLE_MARGIN_MS: u64 = 3_000;
/// Time taken for a request whose caller states none, in milliseconds.
const UNSTATED_TIME_MS: u64 = 2_000;
/// Longest time for a body, in milliseconds.
const BODY_WITHIN_MS: u64 = 10_000;

/// Bodies held in memory at once, in bytes; the process has a few times that.
const MAX_HELD_BYTES: u64 = 80 * 1024 * 1024;
/// Set aside for a body whose length isn't stated, in bytes.
const CHUNKED_BYTES: u64 = 256 * 1024;
/// When to come back while bodies fill the memory, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

/// Memory set aside for a body, until it is dropped.
struct HeldBody<'a> {
    total_bytes: &'a Cell<u64>,
    held_bytes: u64,
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        self.total_bytes.set(self.total_bytes.get() - self.held_bytes);
    }
}

/// Who sends requests over a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(crate) enum Origin {
    /// A caller.
    #[display("caller")]
    Caller,
    /// Another entry host.
    #[display("host")]
    Host,
}

/// What becomes of a connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// It may carry another request.
    Keep,
    /// It ends.
    Close,
}

/// Serves the connections of a listener.
pub(crate) fn serve(entry: &Rc<Entry>, listener: TcpListener, origin: Origin) {
    let entry = Rc::clone(entry);
    task::spawn_local(async move {
        loop {
            let stream = listen::accept(&listener).await;
            let entry = Rc::clone(&entry);
            task::spawn_local(async move {
                let mut connection = Connection::new(stream);
                while entry.serve_next(&mut connection, origin).await == Next::Keep {}
            });
        }
    });
}

impl Entry {
    /// Serves the next request of a connection.
    async fn serve_next(&self, connection: &mut Connection, origin: Origin) -> Next {
        let limits = self.node.known.borrow().configuration.as_ref().map(|known| known.limits);
        let limits = limits.unwrap_or_default();
        if !connection.has_buffered() {
            let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
            match time::timeout(idle, connection.fill()).await {
                Ok(Ok(read)) if read > 0 => (),
                _ => return Next::Close,
            }
        }
        let within = Duration::from_millis(limits.header_timeout_ms);
        let read = connection.read_request(limits.header_bytes);
        let head = match time::timeout(within, read).await {
            Ok(Ok(head)) => head,
            Ok(Err(error)) => return self.refuse_head(connection, &error).await,
            Err(_) => return self.refuse(connection, Code::SlowSender, "the head").await,
        };
        let arrived_ms = clock::now_ms();
        let framing = match Framing::of_request(&head) {
            Ok(framing) => framing,
            Err(error) => return self.refuse_head(connection, &error).await,
        };
        let wanted_bytes = match framing {
            Framing::Length(bytes) if bytes > limits.body_bytes => {
                return self.refuse(connection, Code::BodyTooLarge, "the stated length").await;
            }
            Framing::Length(bytes) => bytes,
            Framing::Chunked | Framing::UntilClose => CHUNKED_BYTES,
            Framing::None => 0,
        };
        let Some(_held) = self.hold_body(wanted_bytes) else {
            return self.refuse(connection, Code::Overloaded, "bodies fill the memory").await;
        };
        let body = match self.read_body(connection, &head, framing, limits.body_bytes).await {
            Ok(body) => body,
            Err(next) => return next,
        };
        self.in_service.set(self.in_service.get() + 1);
        let next = self.serve_request(connection, head, body, origin, arrived_ms).await;
        self.in_service.set(self.in_service.get() - 1);
        next
    }

    /// Sets memory aside for a body, if there is room.
    fn hold_body(&self, wanted_bytes: u64) -> Option<HeldBody<'_>> {
        let held_bytes = self.held_body_bytes.get() + wanted_bytes;
        if held_bytes > MAX_HELD_BYTES {
            return None;
        }
        self.held_body_bytes.set(held_bytes);
        Some(HeldBody { total_bytes: &self.held_body_bytes, held_bytes: wanted_bytes })
    }

    async fn serve_request(
        &self,
        connection: &mut Connection,
        head: RequestHead,
        body: Option<Bytes>,
        origin: Origin,
        arrived_ms: u64,
    ) -> Next {
        let keeps = head.keeps_alive();
        let id_field = self.node.dialect.headers.request_id;
        let id = head.headers.get(id_field).unwrap_or("-").to_owned();
        let target = head.target.clone();
        let caller_ms = self.caller_ms(&head);
        if origin == Origin::Caller {
            let knows = |known: &Known| known.configuration.is_some();
            if self.await_known(connection, &id, caller_ms, knows).await == Waited::CallerLeft {
                return Next::Close;
            }
        }
        let request = match self.admit(head, body, origin, arrived_ms) {
            Ok(request) => request,
            Err(given_up) => {
                log::info!(
                    event = Event::RequestGivenUp.number(), id = id, target = target,
                    code = given_up.code.number(), status = given_up.code.status(),
                    version = self.node.known.borrow().control.version, origin = origin.to_string();
                    "given up: {}", given_up.code.title()
                );
                let reply = self.give_up(given_up, origin);
                return self.reply(connection, reply, keeps).await;
            }
        };
        if origin == Origin::Caller {
            self.load.borrow_mut().retries.earn(arrived_ms, &request.service);
            let knows = |known: &Known| self.has_room(known, &request);
            let waited = self.await_known(connection, &request.id, caller_ms, knows).await;
            if waited == Waited::CallerLeft {
                return Next::Close;
            }
        }
        self.forward(connection, &request, keeps).await
    }

    /// Time that a caller gives its request, in milliseconds.
    fn caller_ms(&self, head: &RequestHead) -> u64 {
        let field = self.node.dialect.headers.deadline_ms;
        let stated = head.headers.get(field).and_then(|text| text.parse().ok());
        stated.unwrap_or(UNSTATED_TIME_MS)
    }

    /// Reads the body of a request, if it has one.
    async fn read_body(
        &self,
        connection: &mut Connection,
        head: &RequestHead,
        framing: Framing,
        limit_bytes: u64,
    ) -> Result<Option<Bytes>, Next> {
        if framing == Framing::None {
            return Ok(None);
        }
        if head.headers.has_token("expect", "100-continue")
            && connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return Err(Next::Close);
        }
        let mut reader = BodyReader::new(framing);
        let read = connection.read_whole(&mut reader, limit_bytes);
        match time::timeout(Duration::from_millis(BODY_WITHIN_MS), read).await {
            Ok(Ok(body)) => Ok(Some(body)),
            Ok(Err(error)) => Err(self.refuse_head(connection, &error).await),
            Err(_) => Err(self.refuse(connection, Code::SlowSender, "the body").await),
        }
    }

    async fn refuse_head(&self, connection: &Connection, error: &HttpError) -> Next {
        let code = match error {
            HttpError::Closed | HttpError::Incomplete | HttpError::Io { .. } => return Next::Close,
            HttpError::HeadTooLarge { .. } => Code::HeadTooLarge,
            HttpError::BodyTooLarge { .. } => Code::BodyTooLarge,
            _ => Code::MalformedRequest,
        };
        self.refuse(connection, code, &error.to_string()).await
    }

    /// Refuses what can't be read, and ends the connection.
    async fn refuse(&self, connection: &Connection, code: Code, detail: &str) -> Next {
        log::info!(
            event = Event::RequestUnreadable.number(), code = code.number();
            "unreadable: {detail}"
        );
        let mut reply = self.node.coded(code, &format!("{}: {detail}", code.title()));
        if code == Code::Overloaded {
            reply = reply.retry_after_ms(OVERLOADED_RETRY_MS);
        }
        self.reply(connection, reply, false).await
    }

    /// Writes an answer of this host.
    pub(crate) async fn reply(&self, connection: &Connection, reply: Reply, keeps: bool) -> Next {
        let keeps = keeps && !self.node.is_leaving();
        let reply = if keeps { reply } else { reply.closing() };
        metrics::counter!("anvillift_own_answers_total", "status" => reply.status.to_string())
            .increment(1);
        match reply.write(connection).await {
            Ok(()) if keeps => Next::Keep,
            _ => Next::Close,
        }
    }
}
