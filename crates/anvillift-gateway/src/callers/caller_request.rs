//! Handling of a request from a caller, from its head to its answer.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ServiceKind;
use anvillift_schema::name::Name;
use salvo::conn::ConnCtrl;
use salvo::http::{HeaderMap, Method, ReqBody};
use uuid::Uuid;

use super::{chat, hops, read_body, unread_answer};
use crate::admission;
use crate::answer::Answer;
use crate::burn::ObjectiveTracker;
use crate::commands;
use crate::exporter;
use crate::forward::{self, event_stream};
use crate::gateway::Gateway;
use crate::headers;
use crate::keys;
use crate::placement;
use crate::problem::Refusal;
use crate::request::Request;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Request of a caller whose head has been read and whose body has not.
pub(crate) struct CallerRequest {
    pub(crate) service: String,
    pub(crate) method: Method,
    /// Path and query that the upstream receives.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReqBody,
    /// Control of the connection of the caller.
    pub(crate) connection: ConnCtrl,
}

/// Handles a request, counts it in the metrics and puts its id into the answer.
pub(crate) async fn handle(gateway: &Arc<Gateway>, incoming: CallerRequest) -> Answer {
    let id = Name::from(Uuid::now_v7().to_string());
    let service = incoming.service.clone();
    let has_key = incoming.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let mut answer = match run(gateway, &id, incoming).await {
        Ok(answer) => answer,
        Err(refusal) if has_key => refusal.before_lookup().answer(Some(&id)),
        Err(refusal) => refusal.answer(Some(&id)),
    };
    exporter::count_request(gateway, &service, &answer);
    answer.set_header(headers::REQUEST_ID, &id);
    answer
}

async fn run(
    gateway: &Arc<Gateway>,
    id: &Name,
    mut incoming: CallerRequest,
) -> Result<Answer, Refusal> {
    let in_flight = gateway.in_flight.enter();
    gateway.check_accepting()?;
    let mut request = parse_head(gateway, id, &incoming)?;
    let limit_bytes = request.profile.max_body_bytes;
    let expected_bytes = read_body::check_length(&incoming.headers, limit_bytes)?;
    let timeout_ms = gateway.settings.limits.body_timeout_ms;
    let body = incoming.body.take();
    request.body = read_body::read(body, expected_bytes, limit_bytes, timeout_ms).await?;
    if request.kind == ServiceKind::Model && request.method == Method::POST {
        let facts = chat::parse(&request.body)
            .map_err(|error| Refusal::with_detail(Code::MalformedRequest, error.to_string()))?;
        request.chat = Some(facts);
    }
    let deadline = gateway.clock.instant(request.deadline_ms);
    let answer = tokio::select! {
        biased;
        answer = serve(gateway, request) => answer?,
        () = gateway.requests_end() => return Err(Code::HostStopped.into()),
    };
    let answer = unread_answer::close_after(answer, incoming.connection.clone(), deadline);
    Ok(answer.with_guard(in_flight))
}

/// Admits a request whose body has been read, and runs it as a command or as a read.
async fn serve(gateway: &Arc<Gateway>, request: Request) -> Result<Answer, Refusal> {
    let tracker = ObjectiveTracker::start(gateway, &request.profile);
    let admitted = admission::admit(gateway, &request.facts(gateway.now_ms())).await;
    let admitted = admitted.inspect_err(|refusal| tracker.record_refusal(refusal))?;
    let (id, deadline_ms) = (request.id.clone(), request.deadline_ms);
    let answer = if request.is_command() {
        commands::run(gateway, request).await
    } else {
        forward::serve(gateway, request).await
    };
    let deadline = gateway.clock.instant(deadline_ms);
    let answer = event_stream::end_with_error_event(tracker.track(answer), id, deadline);
    Ok(answer.with_guard(admitted))
}

/// Checks the head of a request and builds a [`Request`] from it, with an empty body.
fn parse_head(
    gateway: &Arc<Gateway>,
    id: &Name,
    incoming: &CallerRequest,
) -> Result<Request, Refusal> {
    let head = &incoming.headers;
    let team = keys::team(&gateway.team_keys.load(), head)?;
    let (service, profile) = gateway.service(&incoming.service)?;
    let hops = hops::parse(head);
    hops::check(gateway, &hops)?;
    if !placement::allows(&profile, gateway.region(), gateway.data_centre()) {
        let hosts = gateway.other_hosts(Some(&profile));
        return Err(Refusal { hosts, ..Code::PlaceNotAllowed.into() });
    }
    let home = headers::text(head, headers::HOME).map(Name::from);
    let configuration = gateway.configuration.load();
    let home = home.or_else(|| configuration.teams.get(&team)?.home.clone());
    let requested_ms = parse_number(head, headers::DEADLINE_MS)?.unwrap_or(profile.deadline_ms);
    Ok(Request {
        id: id.clone(),
        service: service.name,
        kind: service.kind,
        team,
        home,
        idempotency_key: idempotency_key(head)?,
        method: incoming.method.clone(),
        path: incoming.path.clone(),
        headers: headers::for_upstream(head),
        body: bytes::Bytes::new(),
        forwarded: !hops.is_empty(),
        hops,
        deadline_ms: gateway.now_ms() + requested_ms.min(profile.deadline_ms),
        profile,
        chat: None,
    })
}

fn idempotency_key(head: &HeaderMap) -> Result<Option<Name>, Refusal> {
    match head.get(headers::IDEMPOTENCY_KEY) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
                Ok(Some(text.into()))
            }
            _ => Err(Refusal::with_detail(
                Code::MalformedRequest,
                "the idempotency key is empty, too long or not ASCII text",
            )),
        },
    }
}

fn parse_number(head: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = head.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let malformed = || {
        Refusal::with_detail(
            Code::MalformedRequest,
            format!("the header {name} must be a non-negative integer"),
        )
    };
    number.map(Some).ok_or_else(malformed)
}
