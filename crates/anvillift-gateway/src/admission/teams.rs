//! Request and token limits of teams. Within a data centre one host owns the bucket of a team, and
//! the other hosts lease tokens from it.

use std::sync::Arc;
use std::time::Duration;

use anvillift_routing::request::RequestFacts;
use anvillift_routing::team_bucket::Allowance;
use anvillift_routing::team_limit::{LEASE_VALID_MS, LeaseResult, TeamDecision};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::Team;
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;

use crate::gateway::Gateway;
use crate::mesh_handlers;
use crate::problem::Refusal;

/// Time to wait for a lease. An owner that takes longer is treated as unreachable.
const LEASE_TIMEOUT: Duration = Duration::from_millis(40);

/// Counts a request against the limit of its team. If the limiter needs a lease for that, tokens
/// are leased from the owner of the bucket first.
pub(super) async fn count_request(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<(), Refusal> {
    let Some(team) = gateway.configuration.load().teams.get(&facts.team).cloned() else {
        return Ok(());
    };
    let tokens = facts.prompt_tokens + facts.answer_tokens;
    let snapshot = gateway.snapshot.load_full();
    let owners = &snapshot.owners;
    let now_ms = gateway.now_ms();
    let limiter = &gateway.admission.teams;
    let mut decision = limiter.lock().expect("lock").admit(now_ms, &team, tokens, owners);
    if let TeamDecision::LeaseNeeded { owner, requested } = decision {
        let result = request_lease(gateway, &team, &owner, requested).await;
        let now_ms = gateway.now_ms();
        let mut limiter = limiter.lock().expect("lock");
        decision = limiter.admit_leased(now_ms, &team, tokens, owners.len(), result);
    }
    match decision {
        TeamDecision::Admitted => Ok(()),
        TeamDecision::Refused { retry_after_ms } => {
            Err(Refusal::retry_after(Code::TeamLimit, retry_after_ms))
        }
        TeamDecision::LeaseNeeded { .. } => Err(Code::TeamLimit.into()),
    }
}

/// Leases tokens from a team's bucket to another host. Hosts of other data centres are refused.
pub(crate) fn lease_tokens(
    gateway: &Gateway,
    from: &Name,
    team: &Name,
    requested: Allowance,
) -> PeerAnswer {
    let peer = gateway.settings.peers.get(from);
    let is_same_data_centre = peer.is_some_and(|peer| peer.data_centre == *gateway.data_centre());
    let configuration = gateway.configuration.load();
    let Some(team) = configuration.teams.get(team).filter(|_| is_same_data_centre) else {
        return mesh_handlers::refused(Code::KeyNotAllowed);
    };
    let mut limiter = gateway.admission.teams.lock().expect("lock");
    let Allowance { requests_milli, tokens } = limiter.lease(gateway.now_ms(), team, requested);
    PeerAnswer::Leased { requests_milli, tokens, valid_ms: LEASE_VALID_MS }
}

async fn request_lease(
    gateway: &Gateway,
    team: &Team,
    owner: &Name,
    requested: Allowance,
) -> LeaseResult {
    let Allowance { requests_milli, tokens } = requested;
    let call = PeerCall::LeaseTokens { team: team.name.clone(), requests_milli, tokens };
    match gateway.mesh().call(owner, call, LEASE_TIMEOUT).await {
        Ok(PeerAnswer::Leased { requests_milli, tokens, .. }) => {
            LeaseResult::Leased(Allowance { requests_milli, tokens })
        }
        _ => LeaseResult::OwnerUnreachable,
    }
}
