//! Where a command runs.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use uuid::Uuid;

use crate::answer::Answer;
use crate::forward::remote::{self, Target};
use crate::gateway::Gateway;
use crate::placement;
use crate::problem::Refusal;
use crate::request::Request;

/// When a caller may try a home region again that is out of reach, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Where a command is run.
pub(super) enum Place {
    /// In the own region.
    Here { home: Name },
    /// In another region.
    Elsewhere { home: Name },
}

/// The home of a command: what the request says, else the team's; never the entry host's region.
pub(super) fn place(gateway: &Gateway, request: &Request) -> Result<Place, Refusal> {
    let Some(home) = request.home.clone() else {
        let detail = "a command with an idempotency key needs a home region";
        return Err(Refusal::with_detail(Code::MalformedRequest, detail));
    };
    if !gateway.settings.ledgers.contains_key(&home) {
        let detail = format!("{home} is no home region");
        return Err(Refusal::with_detail(Code::MalformedRequest, detail));
    }
    if home == *gateway.region() {
        return Ok(Place::Here { home });
    }
    if request.forwarded {
        return Err(Code::LoopDetected.into());
    }
    Ok(Place::Elsewhere { home })
}

/// Hands a command to a host of its home region; to another one only while
/// certainly nothing ran.
pub(super) async fn forward(gateway: &Arc<Gateway>, mut request: Request, home: Name) -> Answer {
    request.home = Some(home.clone());
    let mut last = Refusal::retry_after(Code::LedgerUnavailable, RETRY_AFTER_MS);
    for target in targets(gateway, &request, &home) {
        let attempt = Name::from(Uuid::now_v7().to_string());
        let failure = match remote::attempt(gateway, &request, &target, &attempt).await {
            Ok(answer) => return answer,
            Err(failure) => failure,
        };
        last = failure.refusal();
        let elsewhere = matches!(failure.code, Code::Draining | Code::NotReady | Code::LinkBroke);
        if !(failure.is_not_run() && elsewhere) {
            break;
        }
    }
    if last.outcome == anvillift_schema::public::Outcome::NotRun && last.retry_after_ms.is_none() {
        last.retry_after_ms = Some(RETRY_AFTER_MS);
    }
    last.answer(Some(&request.id))
}

/// Hosts of the home region that take requests, least busy first.
fn targets(gateway: &Gateway, request: &Request, home: &Name) -> Vec<Target> {
    let snapshot = gateway.snapshot.load();
    let hosts = snapshot.view.hosts.values().filter(|host| {
        let record = &host.record;
        host.alive
            && record.state == HostState::Ready
            && record.region == *home
            && placement::allows(&request.profile, &record.region, &record.data_centre)
    });
    let mut hosts: Vec<_> = hosts.collect();
    hosts.sort_by_key(|host| host.record.in_flight_requests);
    let target = |host: &&anvillift_membership::view::HostView| Target {
        region: host.record.region.clone(),
        data_centre: host.record.data_centre.clone(),
        host: host.record.host.clone(),
    };
    hosts.iter().map(target).collect()
}
