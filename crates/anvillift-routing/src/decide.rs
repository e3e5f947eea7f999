//! The decision where a request goes.
//!
//! [`decide`] scores the upstreams of the own data centre and the other data
//! centres, keeps the request here unless another place is clearly better, and
//! refuses it when no place would answer in time. The same arguments give the
//! same decision, so that one can be replayed from a log line.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::estimate::{self, Estimate, RequestTokens};
use crate::load_view::{DataCentreRoom, LoadView, UpstreamRoom};
use crate::request::RequestFacts;
use crate::shortlist::Shortlist;

/// News of a data centre older than this does not attract requests, in milliseconds.
const FRESH_NEWS_MS: u64 = 3_000;

/// Least gain for which a request is sent away, in milliseconds.
const SPILL_GAIN_MS: f64 = 100.0;

/// Least gain while requests are being sent away already, in milliseconds.
const SPILL_GAIN_ONGOING_MS: f64 = 40.0;

/// Cost of leaving the own region at equal weights, in milliseconds.
const AWAY_COST_MS: f64 = 300.0;

/// Weight of a prefill for the requests that it delays.
const RECOMPUTE_WEIGHT: f64 = 4.0;

/// Tokens of an answer whose late gaps count against a place.
const LATE_GAP_TOKENS: u64 = 64;

/// Shortest time after which a refused caller may come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 250;

/// Longest time after which a refused caller may come back, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Share of the first-token target that may be spent waiting, by priority.
const WAIT_SHARE_BY_PRIORITY: [f64; 4] = [0.5, 0.7, 0.85, 1.0];

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// To an upstream of the own data centre.
    Local {
        /// The upstream.
        upstream: Name,
    },
    /// To a host of another data centre.
    Forward {
        /// Region of the data centre.
        region: Name,
        /// Data centre.
        data_centre: Name,
        /// Host to forward to.
        host: Name,
    },
    /// Nowhere: the caller gets its final answer at once.
    Refuse {
        /// Result code.
        code: Code,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A place with what is expected there.
struct Candidate<'a, R> {
    room: &'a R,
    estimate: Estimate,
    score_ms: f64,
}

/// Decides where a request goes.
pub fn decide(
    request: &RequestFacts,
    view: &LoadView,
    profile: &Profile,
    draws: &mut SmallRng,
) -> Decision {
    let local = best_upstream(request, view, profile, draws);
    let far = best_data_centre(request, view, profile);
    match (local, far) {
        (None, None) => refuse(Code::NoUpstream, f64::from(profile.first_token_target_ms), draws),
        (Some(local), None) => keep(request, profile, &local, draws),
        (None, Some(far)) => forward(request, profile, &far, draws),
        (Some(local), Some(far)) if is_clearly_better(&far, &local, view, profile) => {
            forward(request, profile, &far, draws)
        }
        (Some(local), Some(_)) => keep(request, profile, &local, draws),
    }
}

fn best_upstream<'a>(
    request: &RequestFacts,
    view: &'a LoadView,
    profile: &Profile,
    draws: &mut SmallRng,
) -> Option<Candidate<'a, UpstreamRoom>> {
    let weights = Weights::of(profile, request);
    let tokens = RequestTokens::of(request, 0);
    let serving: Vec<bool> = view.model_sets.iter().map(|models| serves(models, request)).collect();
    let mut shortlist = Shortlist::default();
    for (position, room) in view.upstreams.iter().enumerate() {
        if may_use(room, request, &serving) {
            let estimate = estimate::at_upstream(room, &tokens);
            shortlist.offer(position, weights.score_ms(&estimate), estimate);
        }
    }
    for cached in &request.cached {
        let Some(position) = view.position(&cached.holder) else { continue };
        let room = &view.upstreams[position];
        if may_use(room, request, &serving) {
            let tokens = RequestTokens::of(request, cached.tokens);
            let estimate = estimate::at_upstream(room, &tokens);
            shortlist.offer(position, weights.score_ms(&estimate), estimate);
        }
    }
    let chosen = shortlist.draw(draws)?;
    Some(Candidate {
        room: &view.upstreams[chosen.position],
        estimate: chosen.estimate,
        score_ms: chosen.score_ms,
    })
}

fn may_use(room: &UpstreamRoom, request: &RequestFacts, serving: &[bool]) -> bool {
    let serves = match room.model_set {
        Some(set) => serving[set],
        None => serves(&room.models, request),
    };
    serves && !request.tried.contains(&room.upstream)
}

/// Whether an upstream with these models serves the request; no models stand for any.
fn serves(models: &[Name], request: &RequestFacts) -> bool {
    request.model.as_ref().is_none_or(|model| models.is_empty() || models.contains(model))
}

fn best_data_centre<'a>(
    request: &RequestFacts,
    view: &'a LoadView,
    profile: &Profile,
) -> Option<Candidate<'a, DataCentreRoom>> {
    if request.forwarded {
        return None;
    }
    let weights = Weights::of(profile, request);
    let rooms = view.data_centres.iter().filter(|room| {
        let reachable = room.upstreams > 0 && !room.hosts.is_empty();
        reachable && room.age_ms <= FRESH_NEWS_MS && !request.tried.contains(&room.data_centre)
    });
    let candidates = rooms.map(|room| {
        let cached = request.cached.iter().find(|cached| cached.holder == room.data_centre);
        let cached_tokens = cached.map_or(0, |cached| cached.tokens);
        let estimate = estimate::at_data_centre(room, request, cached_tokens);
        let score_ms = weights.score_ms(&estimate) + weights.away_cost_ms(room, &view.region);
        Candidate { room, estimate, score_ms }
    });
    candidates.min_by(|one, other| one.score_ms.total_cmp(&other.score_ms))
}

/// Weights of a profile relative to that of tail latency.
struct Weights {
    cost: f64,
    away: f64,
    gap_target_ms: f64,
    late_tokens: f64,
}

impl Weights {
    fn of(profile: &Profile, request: &RequestFacts) -> Self {
        let tail = f64::from(profile.weight_tail_milli.max(1));
        Self {
            cost: f64::from(profile.weight_cost_milli) / tail + RECOMPUTE_WEIGHT,
            away: f64::from(profile.weight_away_milli) / tail,
            gap_target_ms: f64::from(profile.between_tokens_target_ms),
            late_tokens: request.answer_tokens.min(LATE_GAP_TOKENS) as f64,
        }
    }

    /// Weighs latency and computed tokens, in milliseconds of latency.
    fn score_ms(&self, estimate: &Estimate) -> f64 {
        let late_gap_ms = (estimate.gap_ms - self.gap_target_ms).max(0.0);
        estimate.first_token_ms + late_gap_ms * self.late_tokens + self.cost * estimate.prefill_ms
    }

    fn away_cost_ms(&self, room: &DataCentreRoom, own_region: &Name) -> f64 {
        if room.region == *own_region { 0.0 } else { AWAY_COST_MS * self.away }
    }
}

/// Whether a request leaves: the own data centre is late and the gain is clear.
fn is_clearly_better(
    far: &Candidate<'_, DataCentreRoom>,
    local: &Candidate<'_, UpstreamRoom>,
    view: &LoadView,
    profile: &Profile,
) -> bool {
    let gain_ms = local.score_ms - far.score_ms;
    let least_ms = if view.spilling { SPILL_GAIN_ONGOING_MS } else { SPILL_GAIN_MS };
    gain_ms > least_ms && local.estimate.wait_ms > tolerated_wait_ms(profile)
}

/// Wait at home that is borne before a request is sent away.
fn tolerated_wait_ms(profile: &Profile) -> f64 {
    let away = f64::from(profile.weight_away_milli);
    let tail = f64::from(profile.weight_tail_milli);
    f64::from(profile.first_token_target_ms) * away / (away + tail).max(1.0) / 2.0
}

fn keep(
    request: &RequestFacts,
    profile: &Profile,
    local: &Candidate<'_, UpstreamRoom>,
    draws: &mut SmallRng,
) -> Decision {
    match excess(request, profile, &local.estimate) {
        None => Decision::Local { upstream: local.room.upstream.clone() },
        Some((code, excess_ms)) => refuse(code, excess_ms, draws),
    }
}

fn forward(
    request: &RequestFacts,
    profile: &Profile,
    far: &Candidate<'_, DataCentreRoom>,
    draws: &mut SmallRng,
) -> Decision {
    if let Some((code, excess_ms)) = excess(request, profile, &far.estimate) {
        return refuse(code, excess_ms, draws);
    }
    let host = draws.random_range(0..far.room.hosts.len());
    Decision::Forward {
        region: far.room.region.clone(),
        data_centre: far.room.data_centre.clone(),
        host: far.room.hosts[host].clone(),
    }
}

/// Why a request is refused at the best place, and by how much it is late there.
fn excess(request: &RequestFacts, profile: &Profile, estimate: &Estimate) -> Option<(Code, f64)> {
    let late_ms = estimate.first_token_ms - request.deadline_ms as f64;
    if late_ms > 0.0 {
        return Some((Code::DeadlineInfeasible, late_ms));
    }
    let highest = WAIT_SHARE_BY_PRIORITY.len() - 1;
    let share = WAIT_SHARE_BY_PRIORITY[(request.priority as usize).min(highest)];
    let wait_limit_ms = f64::from(profile.first_token_target_ms) * share;
    let excess_ms = estimate.wait_ms - wait_limit_ms;
    (excess_ms > 0.0).then_some((Code::Overloaded, excess_ms))
}

/// Refuses with a time to come back, spread so that callers do not return together.
fn refuse(code: Code, excess_ms: f64, draws: &mut SmallRng) -> Decision {
    let base_ms = (excess_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let retry_after_ms = base_ms + draws.random_range(0..=base_ms / 2);
    Decision::Refuse { code, retry_after_ms }
}
