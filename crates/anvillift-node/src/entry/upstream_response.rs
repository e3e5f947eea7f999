//! The response of a worker or another host while it is relayed.

use anvillift_fleet::{EventPosition, InFlightRequest, TruncatedStream};
use anvillift_http::{BodyReader, Framing, HttpError, ResponseHead};
use anvillift_schema::name::Name;
use bytes::Bytes;

use crate::clock;
use crate::entry::attempt::StartedResponse;
use crate::entry::attempts::StartedAttempt;
use crate::entry::pool::Lease;
use crate::entry::request::Request;
use crate::entry::target::Target;

/// Media type of a stream of server-sent events.
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// The response that is being relayed. It is replaced when the stream is resumed
/// at another worker.
pub(super) struct UpstreamResponse {
    pub(super) target: Target,
    pub(super) in_flight: InFlightRequest,
    /// When the attempt began, in milliseconds.
    pub(super) sent_ms: u64,
    pub(super) lease: Lease,
    pub(super) head: ResponseHead,
    pub(super) body: BodyReader,
    pub(super) framing: Framing,
    /// Version of the software of the worker, or `None` if it isn't known.
    pub(super) version: Option<Name>,
    /// Position in the stream of events; `None` for other responses.
    position: Option<EventPosition>,
    /// Arrival of the events of a stream.
    arrival: StreamArrival,
    pub(super) answered_early: bool,
}

/// When the parts of a stream arrived; a worker sends one for each event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamArrival {
    first_ms: u64,
    last_ms: u64,
    /// Parts that arrived after the first one.
    pub(super) parts_after_first: u64,
    has_begun: bool,
}

impl StreamArrival {
    fn record(&mut self, now_ms: u64) {
        if self.has_begun {
            self.parts_after_first += 1;
        } else {
            self.has_begun = true;
            self.first_ms = now_ms;
        }
        self.last_ms = now_ms;
    }

    /// Time from the first to the last part, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.last_ms - self.first_ms
    }
}

impl UpstreamResponse {
    pub(super) fn new(
        request: &Request,
        started: StartedAttempt,
        response: StartedResponse,
    ) -> Self {
        let StartedResponse { lease, head, body, framing, version, answered_early } = response;
        let StartedAttempt { target, in_flight, began_ms: sent_ms } = started;
        let position = is_event_stream(request, &head, framing).then(EventPosition::default);
        let arrival = StreamArrival::default();
        Self {
            target,
            in_flight,
            sent_ms,
            lease,
            head,
            body,
            framing,
            version,
            position,
            arrival,
            answered_early,
        }
    }

    /// The next bytes of the body, or `None` at its end.
    pub(super) async fn next_data(&mut self) -> Result<Option<Bytes>, HttpError> {
        let body = &mut self.body;
        let read = self.lease.connection()?.read_body(body).await?;
        if let (Some(position), Some(data)) = (&mut self.position, &read) {
            position.advance(data);
            self.arrival.record(clock::now_ms());
        }
        Ok(read)
    }

    /// When the parts of a stream arrived.
    pub(super) fn arrival(&self) -> StreamArrival {
        self.arrival
    }

    /// Checks a body that has ended by its framing: a stream must not end inside an
    /// event, whatever the framing and the route.
    pub(super) fn check_end(&self) -> Result<(), TruncatedStream> {
        let is_end_declared = self.framing != Framing::UntilClose;
        self.position.map_or(Ok(()), |position| position.check_end(is_end_declared))
    }

    /// Number of bytes after the last complete event of a stream; 0 for other responses.
    pub(super) fn partial_bytes(&self) -> u64 {
        self.position.map_or(0, |position| position.partial_bytes())
    }
}

/// Whether a response is a stream of events: its content type says so, or it names
/// none and the route answers with streams.
pub(super) fn is_event_stream(request: &Request, head: &ResponseHead, framing: Framing) -> bool {
    let is_success = (200..300).contains(&head.status);
    is_success
        && framing != Framing::None
        && head.headers.get("content-type").map_or(request.route.kind.is_stream(), |media_type| {
            media_type.trim_start().to_ascii_lowercase().starts_with(EVENT_STREAM_MEDIA_TYPE)
        })
}
