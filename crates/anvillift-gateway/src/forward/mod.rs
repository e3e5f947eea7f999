//! Serves an admitted request by sending it to an upstream.
//!
//! The router chooses a place. An attempt there either returns the head of an answer or fails;
//! after a failure, admission decides whether another place is tried. Start at `serve`.

pub mod event_splitter;
pub(crate) mod event_stream;
pub(crate) mod failure;
mod hedge;
pub(crate) mod incoming;
pub(crate) mod local;
pub(crate) mod remote;
mod resume;
mod route_guard;
pub(crate) mod tried;

use std::sync::Arc;

use anvillift_routing::decide::Decision;
use anvillift_schema::name::Name;
use uuid::Uuid;

use crate::admission;
use crate::answer::Answer;
use crate::exporter;
use crate::gateway::Gateway;
use crate::problem::Refusal;
use crate::request::Request;
use failure::AttemptFailure;
use route_guard::RouteGuard;
use tried::{Place, Tried};

/// Serves a request and returns the answer of an upstream or a refusal.
pub(crate) async fn serve(gateway: &Arc<Gateway>, request: Request) -> Answer {
    match run_attempts(gateway, &request).await {
        Ok(answer) => answer,
        Err(refusal) => refusal.answer(Some(&request.id)),
    }
}

/// The place of an attempt and its result, or a refusal if the router chose no place.
type AttemptResult = Result<(Place, Result<Answer, AttemptFailure>), Refusal>;

async fn run_attempts(gateway: &Arc<Gateway>, request: &Request) -> Result<Answer, Refusal> {
    admission::record_first_attempt(gateway, request);
    let mut tried = Tried::default();
    let mut earlier: Option<AttemptFailure> = None;
    loop {
        let decision = route(gateway, request, &tried);
        let (place, result) = match hedge::attempt_hedged(gateway, request, decision).await {
            Ok(attempted) => attempted,
            Err(refusal) => return Err(earlier.map_or(refusal, |failure| failure.refusal())),
        };
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure.combine_with(earlier.as_ref()),
        };
        exporter::count_failed_attempt(failure.code);
        log::debug!("attempt of {} at {place} failed: {failure}", request.id);
        tried.record(place, failure.code);
        if !admission::allow_retry(gateway, request, &failure, tried.attempts()) {
            return Err(failure.refusal());
        }
        earlier = Some(failure);
    }
}

fn route(gateway: &Gateway, request: &Request, tried: &Tried) -> Decision {
    let now_ms = gateway.now_ms();
    let mut facts = request.facts(now_ms);
    tried.exclude_from(&mut facts);
    let mut router = gateway.router.lock().expect("lock");
    router.route(now_ms, &mut facts, &request.profile)
}

async fn attempt(gateway: &Arc<Gateway>, request: &Request, decision: Decision) -> AttemptResult {
    let id = attempt_id();
    match decision {
        Decision::Local { upstream } => {
            let guard = RouteGuard::new(gateway, request, &upstream);
            let result = local::attempt(gateway, request, &upstream, &id).await;
            Ok((Place::upstream(upstream), result.map(|answer| answer.with_guard(guard))))
        }
        Decision::Forward { region, data_centre, host } => {
            let guard = RouteGuard::new(gateway, request, &data_centre);
            let place = Place::host(data_centre.clone(), host.clone());
            let target = remote::Target { region, data_centre, host };
            let result = remote::attempt(gateway, request, &target, &id).await;
            Ok((place, result.map(|answer| answer.with_guard(guard))))
        }
        Decision::Refuse { code, retry_after_ms } => {
            Err(Refusal::retry_after(code, retry_after_ms))
        }
    }
}

fn attempt_id() -> Name {
    Name::from(Uuid::now_v7().to_string())
}
