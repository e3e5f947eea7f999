//! Server-sent events: where one ends, and the error event of a broken stream.

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::{self, Instant};

use crate::answer::{Answer, AnswerBody, AnswerStream};
use crate::problem::Refusal;

/// Ends a body at its deadline, and a broken event stream with an error event.
pub(crate) fn end_with_error_event(mut answer: Answer, id: Name, deadline: Instant) -> Answer {
    let is_event_stream = answer.is_event_stream();
    let AnswerBody::Stream(body) = answer.body else { return answer };
    let body = until(body, deadline);
    answer.body = AnswerBody::Stream(if is_event_stream {
        Box::pin(body.map(move |item| match item {
            Err(code) => Ok(Bytes::from(Refusal::from(code).error_event(Some(&id)))),
            whole => whole,
        }))
    } else {
        body
    });
    answer
}

/// The body until it breaks off or the deadline passes.
fn until(body: AnswerStream, deadline: Instant) -> AnswerStream {
    Box::pin(stream::unfold(Some(body), move |body| async move {
        let mut body = body?;
        match time::timeout_at(deadline, body.next()).await {
            Err(_) => Some((Err(Code::UpstreamTimeout), None)),
            Ok(None) => None,
            Ok(Some(Err(code))) => Some((Err(code), None)),
            Ok(Some(Ok(bytes))) => Some((Ok(bytes), Some(body))),
        }
    }))
}
