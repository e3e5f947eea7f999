//! Team limits, with leases from the owner of each team's bucket.

use std::sync::Arc;
use std::time::Duration;

use anvillift_routing::request::RequestFacts;
use anvillift_routing::team_bucket::Allowance;
use anvillift_routing::team_limit::{LEASE_VALID_MS, LeaseResult, TeamVerdict};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::Team;
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;

use crate::gateway::Gateway;
use crate::inbox;
use crate::problem::Refusal;

/// An owner that takes longer counts as silent.
const LEASE_TIMEOUT: Duration = Duration::from_millis(40);

/// Counts a request against the limit of its team.
pub(super) async fn count(gateway: &Arc<Gateway>, facts: &RequestFacts) -> Result<(), Refusal> {
    let Some(team) = gateway.configuration.load().teams.get(&facts.team).cloned() else {
        return Ok(());
    };
    let tokens = facts.prompt_tokens + facts.answer_tokens;
    let snapshot = gateway.snapshot.load_full();
    let owners = &snapshot.owners;
    let now_ms = gateway.now_ms();
    let limiter = &gateway.admission.teams;
    let mut verdict = limiter.lock().expect("lock").admit(now_ms, &team, tokens, owners);
    if let TeamVerdict::LeaseNeeded { owner, wanted } = verdict {
        let result = ask(gateway, &team, &owner, wanted).await;
        let now_ms = gateway.now_ms();
        let mut limiter = limiter.lock().expect("lock");
        verdict = limiter.admit_leased(now_ms, &team, tokens, owners.len(), result);
    }
    match verdict {
        TeamVerdict::Admitted => Ok(()),
        TeamVerdict::Refused { retry_after_ms } => {
            Err(Refusal::retry_after(Code::TeamLimit, retry_after_ms))
        }
        TeamVerdict::LeaseNeeded { .. } => Err(Code::TeamLimit.into()),
    }
}

/// Leases tokens of a team to another host of the data centre.
pub(crate) fn lease(gateway: &Gateway, from: &Name, team: &Name, wanted: Allowance) -> PeerAnswer {
    let inside = gateway.settings.peers.get(from);
    let inside = inside.is_some_and(|peer| peer.data_centre == *gateway.data_centre());
    let configuration = gateway.configuration.load();
    let Some(team) = configuration.teams.get(team).filter(|_| inside) else {
        return inbox::refused(Code::KeyNotAllowed);
    };
    let mut limiter = gateway.admission.teams.lock().expect("lock");
    let Allowance { requests_milli, tokens } = limiter.lease(gateway.now_ms(), team, wanted);
    PeerAnswer::Leased { requests_milli, tokens, valid_ms: LEASE_VALID_MS }
}

async fn ask(gateway: &Gateway, team: &Team, owner: &Name, wanted: Allowance) -> LeaseResult {
    let Allowance { requests_milli, tokens } = wanted;
    let call = PeerCall::LeaseTokens { team: team.name.clone(), requests_milli, tokens };
    match gateway.mesh().call(owner, call, LEASE_TIMEOUT).await {
        Ok(PeerAnswer::Leased { requests_milli, tokens, .. }) => {
            LeaseResult::Leased(Allowance { requests_milli, tokens })
        }
        _ => LeaseResult::OwnerSilent,
    }
}
