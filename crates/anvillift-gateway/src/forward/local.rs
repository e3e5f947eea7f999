//! An attempt at an upstream of this host's data centre.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::StreamExt;
use reqwest::{RequestBuilder, Response, StatusCode};
use tokio::time;

use super::failure::AttemptFailure;
use super::resume;
use crate::answer::{self, Answer, AnswerBody, AnswerStream};
use crate::gateway::Gateway;
use crate::headers;
use crate::request::Request;

/// Maximum size of a chunk that is copied out of its read buffer, in bytes.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// Sends a request to an upstream and returns once the head of the answer has arrived.
pub(crate) async fn attempt(
    gateway: &Arc<Gateway>,
    request: &Request,
    upstream: &Name,
    attempt: &Name,
) -> Result<Answer, AttemptFailure> {
    let url = base_url(gateway, upstream).ok_or(AttemptFailure::not_run(Code::NoUpstream))?;
    let is_reused = may_reuse(gateway, request, upstream);
    let outgoing = build_request(gateway, request, &url, attempt, is_reused);
    let deadline = gateway.clock.instant(request.deadline_ms);
    let response = match time::timeout_at(deadline, outgoing.send()).await {
        Err(_) => return Err(AttemptFailure::unknown(Code::UpstreamTimeout)),
        Ok(Err(error)) if error.is_connect() || error.is_builder() => {
            return Err(AttemptFailure::not_run(Code::UpstreamUnreachable));
        }
        Ok(Err(_)) => return Err(AttemptFailure::unknown(Code::UpstreamFailed)),
        Ok(Ok(response)) => response,
    };
    if answer::final_status(response.status().as_u16()).is_none() {
        return Err(AttemptFailure::unknown(Code::UpstreamFailed));
    }
    if !gateway.clients.is_answer_to(upstream, attempt, is_reused, response.headers()) {
        return Err(AttemptFailure::unknown(Code::UpstreamFailed));
    }
    let mut answer = to_answer(gateway, request, upstream, attempt, response);
    answer.set_header(headers::ROUTE, &format!("{}>{upstream}", gateway.route_part()));
    answer.set_header(headers::OUTCOME, "ran");
    Ok(answer)
}

/// Base URL of an upstream; `None` if the upstream is unknown or its announcement has expired.
pub(super) fn base_url(gateway: &Gateway, upstream: &Name) -> Option<String> {
    let snapshot = gateway.snapshot.load();
    let expiry_ms = gateway.settings.timing.upstream_expiry_ms;
    let view = snapshot.upstream(upstream, gateway.now_ms(), expiry_ms)?;
    Some(view.announcement.url.trim_end_matches('/').to_owned())
}

/// Whether a request may be sent over a reused connection.
pub(super) fn may_reuse(gateway: &Gateway, request: &Request, upstream: &Name) -> bool {
    !request.is_command() && gateway.clients.may_reuse(upstream)
}

pub(super) fn build_request(
    gateway: &Gateway,
    request: &Request,
    url: &str,
    attempt: &Name,
    is_reused: bool,
) -> RequestBuilder {
    let client = gateway.clients.client(is_reused);
    let hops = hops_value(gateway, request);
    client
        .request(request.method.clone(), format!("{url}{}", request.path))
        .headers(request.headers.clone())
        .header(headers::ATTEMPT, attempt.as_str())
        .header(headers::REQUEST_ID, request.id.as_str())
        .header(headers::PRIORITY, request.priority())
        .header(headers::HOPS, hops)
        .body(request.body.clone())
}

/// Converts the body of an upstream's response. A failure while reading it becomes
/// [`Code::UpstreamFailed`].
pub(super) fn to_answer_stream(response: Response) -> AnswerStream {
    let body = response.bytes_stream();
    Box::pin(body.map(|item| item.map(detach).map_err(|_| Code::UpstreamFailed)))
}

/// Copies a small chunk, so that it does not keep its larger read buffer in memory.
fn detach(chunk: Bytes) -> Bytes {
    if chunk.len() <= MAX_COPIED_BYTES { Bytes::copy_from_slice(&chunk) } else { chunk }
}

/// Value of the hops header: the visited hosts and regions, then this host and its region.
fn hops_value(gateway: &Gateway, request: &Request) -> String {
    let own = [gateway.host(), gateway.region()];
    let all: Vec<&str> = request.hops.iter().chain(own).map(Name::as_str).collect();
    all.join(",")
}

fn to_answer(
    gateway: &Arc<Gateway>,
    request: &Request,
    upstream: &Name,
    attempt: &Name,
    response: Response,
) -> Answer {
    let status = response.status();
    let headers = headers::for_caller(response.headers());
    let body = AnswerBody::Stream(to_answer_stream(response));
    let answer = Answer { status, headers, body };
    let is_chat_stream = request.chat.as_ref().is_some_and(|chat| chat.stream);
    if !(is_chat_stream && status == StatusCode::OK && answer.is_event_stream()) {
        return answer;
    }
    let snapshot = gateway.snapshot.load();
    let view = snapshot.view.upstreams.get(upstream);
    let can_resume = view.is_some_and(|view| view.announcement.can_resume);
    answer.map_stream(|body| {
        resume::resumable_stream(gateway, request, upstream, attempt, can_resume, body)
    })
}
