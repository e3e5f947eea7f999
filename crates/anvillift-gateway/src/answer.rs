//! An answer to a caller, or to the host that forwarded its request.

use std::ops::RangeInclusive;
use std::pin::Pin;

use anvillift_schema::code::Code;
use bytes::Bytes;
use futures_util::stream::{Stream, StreamExt};
use salvo::http::{HeaderMap, ResBody, StatusCode, header};

use crate::headers;

/// Statuses of final answers. What an upstream sends with another one is no answer.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Chunks of a body; a code as the last item means that the body is truncated.
pub(crate) type AnswerStream = Pin<Box<dyn Stream<Item = Result<Bytes, Code>> + Send>>;

/// Body of an [`Answer`]: complete in memory, or a stream.
pub(crate) enum AnswerBody {
    Complete(Bytes),
    Stream(AnswerStream),
}

/// The status of a final answer; `None` if no answer has this status.
pub(crate) fn final_status(status: u16) -> Option<StatusCode> {
    if !FINAL_STATUSES.contains(&status) {
        return None;
    }
    StatusCode::from_u16(status).ok()
}

/// HTTP answer of an upstream, of another host or of the gateway itself.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

impl Answer {
    /// Whether the body is a stream of server-sent events.
    pub(crate) fn is_event_stream(&self) -> bool {
        headers::text(&self.headers, "content-type")
            .is_some_and(|value| value.starts_with("text/event-stream"))
    }

    pub(crate) fn set_header(&mut self, name: &'static str, text: &str) {
        if let Some(value) = headers::value(text) {
            self.headers.insert(name, value);
        }
    }

    /// Wraps the stream of a streamed body; a complete body stays as it is.
    pub(crate) fn map_stream(self, wrap: impl FnOnce(AnswerStream) -> AnswerStream) -> Self {
        let body = match self.body {
            AnswerBody::Complete(bytes) => AnswerBody::Complete(bytes),
            AnswerBody::Stream(stream) => AnswerBody::Stream(wrap(stream)),
        };
        Self { body, ..self }
    }

    /// Keeps a guard until a streamed body has ended or is dropped; with a complete body it is
    /// dropped at once.
    pub(crate) fn with_guard<T: Send + 'static>(self, guard: T) -> Self {
        self.map_stream(|stream| {
            Box::pin(stream.map(move |item| {
                let _ = &guard;
                item
            }))
        })
    }

    /// Writes the answer to a response of the HTTP server.
    pub(crate) fn write(self, response: &mut salvo::Response) {
        response.status_code(self.status);
        response.set_headers(self.headers);
        match self.body {
            AnswerBody::Complete(bytes) => {
                response.body(ResBody::Once(bytes));
            }
            AnswerBody::Stream(stream) => {
                response.body(ResBody::stream(stream.map(|item| item.map_err(TruncatedBody))));
            }
        }
    }
}

/// The body is truncated. The server aborts the connection to the caller on this error, so that the
/// caller does not mistake the truncated answer for a complete one.
#[derive(Debug, derive_more::Display)]
#[display("the answer was truncated with result code {}", _0.number())]
pub(crate) struct TruncatedBody(Code);

impl std::error::Error for TruncatedBody {}

/// An answer with status 200 and a JSON body.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("the type can be written as JSON");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Complete(body.into()) }
}

/// An answer with status 200 and a body in the Prometheus text format.
pub(crate) fn text(text: String) -> Answer {
    let mut headers = HeaderMap::new();
    let content_type = header::HeaderValue::from_static("text/plain; version=0.0.4");
    headers.insert(header::CONTENT_TYPE, content_type);
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Complete(text.into()) }
}
