//! Writes a response to the caller's connection.
//!
//! The head is withheld until the first bytes of the body arrive, so that another
//! worker can still answer if this one fails before.

use std::io;
use std::rc::Rc;

use anvillift_fleet::{EventSplitter, TruncatedStream};
use anvillift_http::{Connection, Framing};
use bytes::Bytes;

use crate::clock;
use crate::entry::attempt::StartedResponse;
use crate::entry::forward_headers::STREAM_VERSION_HEADER;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::request_progress::RequestProgress;
use crate::entry::served_request::ServedRequest;
use crate::entry::upstream_response;

/// Writes the response to the caller's connection.
pub(super) struct ResponseWriter {
    /// Serialised head; `None` once it is written.
    head: Option<Vec<u8>>,
    is_chunked: bool,
    /// Whether only the close of the connection ends the response.
    ends_by_close: bool,
    pub(super) keep_alive: bool,
    /// Splits a resumable stream into events, of which only complete ones are
    /// written; `None` for other responses.
    pub(super) events: Option<EventSplitter>,
    /// Whether the head names a media type.
    names_media_type: bool,
    /// Time of the first write, or `None` before.
    pub(super) first_write_ms: Option<u64>,
    /// Whether a stalled stream may still be moved to another worker, which is
    /// tried once per request.
    pub(super) can_switch: bool,
    pub(super) chunks_written: u64,
    /// Longest pause between two writes.
    pub(super) longest_pause_ms: u64,
    last_write_ms: u64,
    served: Rc<ServedRequest>,
}

impl ResponseWriter {
    pub(super) fn new(response: &StartedResponse, request: &Request, keep_alive: bool) -> Self {
        let is_resumable = request.route.kind.may_repeat() && request.route.kind.is_stream();
        let is_event_stream =
            upstream_response::is_event_stream(request, &response.head, response.framing);
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
            ends_by_close: !has_length && !is_chunked,
            keep_alive,
            events,
            names_media_type: response.head.headers.contains("content-type"),
            first_write_ms: None,
            can_switch: true,
            chunks_written: 0,
            longest_pause_ms: 0,
            last_write_ms: 0,
            served: Rc::clone(&request.served),
        }
    }

    /// Whether the head has been written to the caller.
    pub(super) fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// What can be written of received data: all of it, or the events that it completes. Fails if
    /// these don't continue the stream.
    pub(super) fn complete(&mut self, data: Bytes) -> Result<Bytes, TruncatedStream> {
        match &mut self.events {
            Some(events) => events.push(&data),
            None => Ok(data),
        }
    }

    /// Whether a response to a resumed request can continue this one.
    pub(super) fn is_continued_by(&self, response: &StartedResponse, request: &Request) -> bool {
        let StartedResponse { head, framing, .. } = response;
        head.status == 200
            && upstream_response::is_event_stream(request, head, *framing)
            && head.headers.contains("content-type") == self.names_media_type
    }

    /// Writes data, which [`complete`](Self::complete) has returned.
    pub(super) async fn write(&mut self, caller: &Connection, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        if self.ends_by_close && self.head.is_some() {
            // If this process is killed, the kernel closes the connection, which must not
            // look like the end of the response.
            caller.reset_on_drop();
        }
        self.record_write();
        self.served.set_progress(RequestProgress::Answering);
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

    /// Writes the end of the response.
    pub(super) async fn end(&mut self, caller: &Connection) -> io::Result<()> {
        self.first_write_ms.get_or_insert_with(clock::now_ms);
        self.served.set_progress(RequestProgress::Answering);
        let mut bytes = self.head.take().unwrap_or_default();
        if self.is_chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        caller.write_all(&bytes).await?;
        if self.ends_by_close { caller.close_on_drop() } else { Ok(()) }
    }
}
