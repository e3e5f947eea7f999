//! Finds the home region of a command and forwards the command to it.

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

/// Time after which a caller may retry a home region that cannot be reached, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Home region of a command, relative to the region of this host.
pub(super) enum HomeRegion {
    /// This host is in the home region and runs the command.
    Local { home: Name },
    /// The command is forwarded to a host of the home region.
    Remote { home: Name },
}

/// Locates the home region of a command: the one that the request names, else that of the team.
/// The region of the host that received the request is never used as a default, because the same
/// key would then have several homes.
pub(super) fn locate(gateway: &Gateway, request: &Request) -> Result<HomeRegion, Refusal> {
    let Some(home) = request.home.clone() else {
        let detail =
            "a command with an idempotency key needs a home region, from the header or the team";
        return Err(Refusal::with_detail(Code::MalformedRequest, detail));
    };
    if !gateway.settings.ledgers.contains_key(&home) {
        let detail = format!("the region {home} has no ledger for commands");
        return Err(Refusal::with_detail(Code::MalformedRequest, detail));
    }
    if home == *gateway.region() {
        return Ok(HomeRegion::Local { home });
    }
    if request.forwarded {
        return Err(Code::LoopDetected.into());
    }
    Ok(HomeRegion::Remote { home })
}

/// Forwards a command to a host of its home region. Another host is tried only if the command
/// certainly did not run.
pub(super) async fn forward(gateway: &Arc<Gateway>, mut request: Request, home: Name) -> Answer {
    request.home = Some(home.clone());
    let mut refusal =
        Refusal::retry_after(Code::LedgerUnavailable, RETRY_AFTER_MS).of_unsent_command();
    for target in targets(gateway, &request, &home) {
        let attempt = Name::from(Uuid::now_v7().to_string());
        let failure = match remote::attempt(gateway, &request, &target, &attempt).await {
            Ok(answer) => return answer,
            Err(failure) => failure,
        };
        refusal = failure.refusal().before_lookup();
        let can_try_next = matches!(failure.code, Code::Draining | Code::NotReady | Code::LinkLost);
        if failure.is_not_run() && refusal.retry_after_ms.is_none() {
            refusal.retry_after_ms = Some(RETRY_AFTER_MS);
        }
        if !(failure.is_not_run() && can_try_next) {
            break;
        }
    }
    refusal.answer(Some(&request.id))
}

/// Ready hosts of the home region, those with the fewest requests in flight first.
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
