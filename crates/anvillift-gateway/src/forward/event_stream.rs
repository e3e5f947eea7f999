//! Ends the body of an answer to a caller at its deadline, and a failed event stream with an error
//! event.

use std::pin::Pin;
use std::task::{Context, Poll};

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use tokio::time::{self, Instant, Sleep};

use crate::answer::{Answer, AnswerStream};
use crate::problem::Refusal;

/// Ends a body at its deadline. If an event stream fails or reaches the deadline, its last event
/// reports the error.
pub(crate) fn end_with_error_event(answer: Answer, id: Name, deadline: Instant) -> Answer {
    let is_event_stream = answer.is_event_stream();
    answer.map_stream(|body| {
        let bounded =
            DeadlineBody { body: Some(body), deadline: Box::pin(time::sleep_until(deadline)) };
        if !is_event_stream {
            return Box::pin(bounded);
        }
        Box::pin(bounded.map(move |item| match item {
            Err(code) => Ok(Bytes::from(Refusal::from(code).error_event(Some(&id)))),
            item => item,
        }))
    })
}

/// A body that ends when its stream ends or fails, or at the deadline.
struct DeadlineBody {
    body: Option<AnswerStream>,
    deadline: Pin<Box<Sleep>>,
}

impl Stream for DeadlineBody {
    type Item = Result<Bytes, Code>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(body) = self.body.as_mut() else { return Poll::Ready(None) };
        let item = match body.poll_next_unpin(cx) {
            Poll::Ready(item) => item,
            Poll::Pending if self.deadline.as_mut().poll(cx).is_pending() => return Poll::Pending,
            Poll::Pending => Some(Err(Code::UpstreamTimeout)),
        };
        if !matches!(item, Some(Ok(_))) {
            self.body = None;
        }
        Poll::Ready(item)
    }
}
