//! A request of a caller, from its head to its answer.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ServiceKind;
use anvillift_schema::name::Name;
use salvo::http::{HeaderMap, Method, ReqBody};
use uuid::Uuid;

use super::{chat, hops, read_body};
use crate::admission;
use crate::answer::Answer;
use crate::burn::Watch;
use crate::commands;
use crate::exporter;
use crate::forward::{self, event_stream};
use crate::gateway::Gateway;
use crate::headers;
use crate::placement;
use crate::problem::Refusal;
use crate::request::Request;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Head of a caller's request, with its body unread.
pub(crate) struct Question {
    pub(crate) service: String,
    pub(crate) method: Method,
    /// Path and query at the upstream.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReqBody,
}

/// Answers a request.
pub(crate) async fn answer(gateway: &Arc<Gateway>, question: Question) -> Answer {
    let id = Name::from(Uuid::now_v7().to_string());
    let service = question.service.clone();
    let mut answer = match run(gateway, &id, question).await {
        Ok(answer) => answer,
        Err(refusal) => refusal.answer(Some(&id)),
    };
    exporter::count_request(gateway, &service, &answer);
    answer.set_header(headers::REQUEST_ID, &id);
    answer
}

async fn run(gateway: &Arc<Gateway>, id: &Name, mut question: Question) -> Result<Answer, Refusal> {
    let in_flight = gateway.in_flight.enter();
    gateway.check_open()?;
    let body = question.body.take();
    let mut request = read_head(gateway, id, &question)?;
    let limit_bytes = request.profile.max_body_bytes;
    let expected_bytes = read_body::check_length(&question.headers, limit_bytes)?;
    let timeout_ms = gateway.settings.limits.body_timeout_ms;
    request.body = read_body::read(body, expected_bytes, limit_bytes, timeout_ms).await?;
    if request.kind == ServiceKind::Model && request.method == Method::POST {
        let facts = chat::parse(&request.body)
            .map_err(|error| Refusal::with_detail(Code::MalformedRequest, error.to_string()))?;
        request.chat = Some(facts);
    }
    let answer = serve(gateway, request).await?;
    Ok(answer.holding(in_flight))
}

/// Serves a request whose body has been read.
async fn serve(gateway: &Arc<Gateway>, request: Request) -> Result<Answer, Refusal> {
    let watch = Watch::start(gateway, &request.profile);
    let admitted = admission::admit(gateway, &request.facts(gateway.now_ms())).await;
    let admitted = admitted.inspect_err(|refusal| watch.refused(refusal))?;
    let (id, deadline_ms) = (request.id.clone(), request.deadline_ms);
    let answer = if request.is_command() {
        commands::run(gateway, request).await
    } else {
        forward::serve(gateway, request).await
    };
    let deadline = gateway.clock.instant(deadline_ms);
    let answer = event_stream::end_with_error_event(watch.over(answer), id, deadline);
    Ok(answer.holding(admitted))
}

/// Checks a head and makes a request of it, its body still empty.
fn read_head(gateway: &Arc<Gateway>, id: &Name, question: &Question) -> Result<Request, Refusal> {
    let head = &question.headers;
    let team = gateway.team_keys.load().team(head)?;
    let (service, profile) = gateway.service(&question.service)?;
    let hops = hops::parse(head);
    hops::check(gateway, &hops)?;
    if !placement::allows(&profile, gateway.region(), gateway.data_centre()) {
        let hosts = gateway.other_hosts(Some(&profile));
        return Err(Refusal { hosts, ..Code::PlaceNotAllowed.into() });
    }
    let home = headers::text(head, headers::HOME).map(Name::from);
    let configuration = gateway.configuration.load();
    let home = home.or_else(|| configuration.teams.get(&team)?.home.clone());
    let wanted_ms = number(head, headers::DEADLINE_MS)?.unwrap_or(profile.deadline_ms);
    Ok(Request {
        id: id.clone(),
        service: service.name,
        kind: service.kind,
        team,
        home,
        idempotency_key: idempotency_key(head)?,
        method: question.method.clone(),
        path: question.path.clone(),
        headers: headers::of_request(head),
        body: bytes::Bytes::new(),
        forwarded: !hops.is_empty(),
        hops,
        deadline_ms: gateway.now_ms() + wanted_ms.min(profile.deadline_ms),
        profile,
        chat: None,
    })
}

fn idempotency_key(head: &HeaderMap) -> Result<Option<Name>, Refusal> {
    match head.get(headers::IDEMPOTENCY_KEY) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.into())),
            _ => Err(Refusal::with_detail(
                Code::MalformedRequest,
                "the idempotency key is not valid",
            )),
        },
    }
}

fn number(head: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = head.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let malformed = || Refusal::with_detail(Code::MalformedRequest, format!("{name} is no number"));
    number.map(Some).ok_or_else(malformed)
}
