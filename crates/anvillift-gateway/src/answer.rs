//! An answer on its way to the caller.

use std::pin::Pin;

use anvillift_schema::code::Code;
use bytes::Bytes;
use futures_util::stream::{Stream, StreamExt};
use salvo::http::{HeaderMap, ResBody, StatusCode, header};

use crate::headers;

/// Bytes of an answer; the last item is a code if it broke off.
pub(crate) type AnswerStream = Pin<Box<dyn Stream<Item = Result<Bytes, Code>> + Send>>;

/// Body of an [`Answer`].
pub(crate) enum AnswerBody {
    Complete(Bytes),
    Stream(AnswerStream),
}

/// Head and body of an answer.
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

    /// Changes a streamed body; a whole one stays.
    pub(crate) fn map_stream(self, change: impl FnOnce(AnswerStream) -> AnswerStream) -> Self {
        let body = match self.body {
            AnswerBody::Complete(bytes) => AnswerBody::Complete(bytes),
            AnswerBody::Stream(stream) => AnswerBody::Stream(change(stream)),
        };
        Self { body, ..self }
    }

    /// Keeps a value until a streamed body has ended or is dropped.
    pub(crate) fn with_guard<T: Send + 'static>(self, held: T) -> Self {
        self.map_stream(|stream| {
            Box::pin(stream.map(move |item| {
                let _ = &held;
                item
            }))
        })
    }

    /// Writes the answer as salvo's.
    pub(crate) fn write(self, response: &mut salvo::Response) {
        response.status_code(self.status);
        response.set_headers(self.headers);
        match self.body {
            AnswerBody::Complete(bytes) => {
                response.body(ResBody::Once(bytes));
            }
            AnswerBody::Stream(stream) => {
                response.body(ResBody::stream(stream.map(|item| item.map_err(BrokenBody))));
            }
        }
    }
}

/// The body broke off; the connection to the caller is aborted, so that the
/// answer does not look whole.
#[derive(Debug, derive_more::Display)]
#[display("the answer broke off with code {}", _0.number())]
pub(crate) struct BrokenBody(Code);

impl std::error::Error for BrokenBody {}

/// A JSON answer.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("the type has a JSON form");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Complete(body.into()) }
}

/// A text answer.
pub(crate) fn text(text: String) -> Answer {
    let mut headers = HeaderMap::new();
    let content_type = header::HeaderValue::from_static("text/plain; version=0.0.4");
    headers.insert(header::CONTENT_TYPE, content_type);
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Complete(text.into()) }
}
