//! Resumes event streams that the upstream truncated, or whose connection to the upstream was lost.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use reqwest::StatusCode;

use super::event_splitter::EventSplitter;
use super::{attempt_id, local};
use crate::admission;
use crate::answer::AnswerStream;
use crate::exporter;
use crate::gateway::Gateway;
use crate::headers;
use crate::request::Request;

/// A stream of events from one upstream, with the state that is needed to resume it.
struct ResumableStream {
    gateway: Arc<Gateway>,
    request: Request,
    upstream: Name,
    attempt: Name,
    can_resume: bool,
    resumes: u32,
    body: AnswerStream,
    events: EventSplitter,
}

/// Forwards complete events, and resumes a broken stream after the last of them if the upstream
/// supports that. A stream that ends before `[DONE]` and cannot be resumed fails with a code.
pub(crate) fn resumable_stream(
    gateway: &Arc<Gateway>,
    request: &Request,
    upstream: &Name,
    attempt: &Name,
    can_resume: bool,
    body: AnswerStream,
) -> AnswerStream {
    let stream = ResumableStream {
        gateway: gateway.clone(),
        request: request.clone(),
        upstream: upstream.clone(),
        attempt: attempt.clone(),
        can_resume,
        resumes: 0,
        body,
        events: EventSplitter::default(),
    };
    Box::pin(stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next_events().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(stream))),
            Some(Err(code)) => Some((Err(code), None)),
            None => None,
        }
    }))
}

impl ResumableStream {
    async fn next_events(&mut self) -> Option<Result<Bytes, Code>> {
        loop {
            match self.body.next().await {
                Some(Ok(chunk)) => match self.events.feed(chunk) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => return Some(Ok(events)),
                    Err(_) => return Some(Err(Code::UpstreamFailed)),
                },
                _ if self.events.is_done() => return None,
                _ => {
                    if !self.resume().await {
                        return Some(Err(Code::UpstreamFailed));
                    }
                }
            }
        }
    }

    /// Requests the events after those that were forwarded; `false` if the stream cannot be
    /// resumed.
    async fn resume(&mut self) -> bool {
        log::warn!(
            event = Event::UpstreamFailed.number(), upstream = self.upstream.as_str();
            "stream of upstream {} was truncated after {} events",
            self.upstream, self.events.data_events()
        );
        self.events.discard_incomplete();
        if !self.can_resume || !admission::allow_resume(&self.gateway, &self.request, self.resumes)
        {
            return false;
        }
        self.resumes += 1;
        let Some(url) = local::base_url(&self.gateway, &self.upstream) else { return false };
        let attempt = attempt_id();
        let is_reused = local::may_reuse(&self.gateway, &self.request, &self.upstream);
        let outgoing =
            local::build_request(&self.gateway, &self.request, &url, &attempt, is_reused)
                .header(headers::RESUME_ATTEMPT, self.attempt.as_str())
                .header(headers::RESUME_OFFSET, self.events.data_events());
        let Ok(response) = outgoing.send().await else { return false };
        let clients = &self.gateway.clients;
        if response.status() != StatusCode::OK
            || !clients.is_answer_to(&self.upstream, &attempt, is_reused, response.headers())
        {
            return false;
        }
        exporter::count_resumed();
        self.attempt = attempt;
        self.body = local::to_answer_stream(response);
        true
    }
}
