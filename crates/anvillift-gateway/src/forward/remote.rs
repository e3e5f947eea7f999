//! An attempt at a host of another data centre, over a link.

use std::sync::Arc;

use anvillift_mesh::{BodyReceiver, ForwardedAnswer};
use anvillift_schema::code::Code;
use anvillift_schema::link::ForwardHead;
use anvillift_schema::name::Name;
use anvillift_schema::public::Outcome;
use futures_util::stream;
use salvo::http::{HeaderMap, StatusCode};
use tokio::time;

use super::failure::AttemptFailure;
use crate::answer::{self, Answer, AnswerBody, AnswerStream};
use crate::exporter;
use crate::gateway::Gateway;
use crate::headers;
use crate::placement;
use crate::request::Request;

const MS_PER_S: u64 = 1000;

/// The host that an attempt is forwarded to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) region: Name,
    pub(crate) data_centre: Name,
    pub(crate) host: Name,
}

/// Forwards a request to another host and returns once the head of the answer has arrived.
pub(crate) async fn attempt(
    gateway: &Arc<Gateway>,
    request: &Request,
    target: &Target,
    attempt: &Name,
) -> Result<Answer, AttemptFailure> {
    if !placement::allows(&request.profile, &target.region, &target.data_centre) {
        return Err(AttemptFailure::not_run(Code::PlaceNotAllowed));
    }
    exporter::count_forwarded(&target.region);
    let head = forward_head(gateway, request, target, attempt);
    let open = gateway.mesh().open(&target.host, request.class(), head, request.body.clone());
    let deadline = gateway.clock.instant(request.deadline_ms);
    let answer = match time::timeout_at(deadline, open).await {
        Err(_) => return Err(AttemptFailure::unknown(Code::UpstreamTimeout)),
        Ok(Err(error)) if error.certainly_not_sent => {
            return Err(AttemptFailure::not_run(error.code));
        }
        Ok(Err(error)) => return Err(AttemptFailure::unknown(error.code)),
        Ok(Ok(answer)) => answer,
    };
    let headers = headers::from_link(&answer.head.headers);
    if let Some(failure) = failure_of(&headers) {
        return Err(failure);
    }
    let status = answer::final_status(answer.head.status)
        .ok_or(AttemptFailure::unknown(Code::UpstreamFailed))?;
    Ok(to_answer(gateway, status, answer, headers))
}

fn forward_head(
    gateway: &Gateway,
    request: &Request,
    target: &Target,
    attempt: &Name,
) -> ForwardHead {
    let mut hops = request.hops.clone();
    hops.push(gateway.host().clone());
    if target.region != *gateway.region() {
        hops.push(gateway.region().clone());
    }
    ForwardHead {
        request_id: request.id.clone(),
        attempt: attempt.clone(),
        service: request.service.clone(),
        team: request.team.clone(),
        home: request.home.clone(),
        method: request.method.to_string(),
        path: request.path.clone(),
        headers: forwarded_headers(request),
        body_bytes: Some(request.body.len() as u64),
        hops,
        deadline_ms: request.deadline_ms.saturating_sub(gateway.now_ms()),
        revision: gateway.configuration.load().revision,
    }
}

fn forwarded_headers(request: &Request) -> Vec<anvillift_schema::link::Header> {
    let mut forwarded = request.headers.clone();
    if let Some(key) = request.idempotency_key.as_ref().and_then(|key| headers::value(key)) {
        forwarded.insert(headers::IDEMPOTENCY_KEY, key);
    }
    headers::to_link(&forwarded)
}

/// Failure that the headers describe; `None` if the answer is not a refusal by the other host.
fn failure_of(headers: &HeaderMap) -> Option<AttemptFailure> {
    let code = headers::text(headers, headers::CODE)?.parse().ok()?;
    let outcome: Outcome = headers::text(headers, headers::OUTCOME)?.parse().ok()?;
    let retry_after_s: Option<u64> =
        headers::text(headers, "retry-after").and_then(|text| text.parse().ok());
    Some(AttemptFailure {
        code: Code::from_number(code)?,
        outcome,
        retry_after_ms: retry_after_s.map(|seconds| seconds * MS_PER_S),
    })
}

fn to_answer(
    gateway: &Gateway,
    status: StatusCode,
    answer: ForwardedAnswer,
    headers: HeaderMap,
) -> Answer {
    let route = headers::text(&headers, headers::ROUTE).unwrap_or_default().to_owned();
    let body = AnswerBody::Stream(to_stream(answer.body));
    let mut answer = Answer { status, headers, body };
    answer.set_header(headers::ROUTE, &format!("{}>{route}", gateway.route_part()));
    answer
}

fn to_stream(body: BodyReceiver) -> AnswerStream {
    Box::pin(stream::unfold(body, |mut body| async move {
        let item = body.next().await?;
        Some((item, body))
    }))
}
