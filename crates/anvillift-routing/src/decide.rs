//! Decides where a request goes.
//!
//! [`decide`] scores the upstreams of the local data centre and the other data
//! centres. It keeps the request local unless another data centre is clearly
//! better, and refuses it if the best candidate could not answer in time. Equal
//! arguments give equal decisions, so a decision can be replayed from a log line.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::estimate::{self, Estimate, RequestTokens};
use crate::load_view::{DataCentreCapacity, LoadView, UpstreamCapacity};
use crate::request::RequestFacts;
use crate::shortlist::Shortlist;
use crate::weights::Weights;

/// A data centre whose load report is older than this takes no forwarded requests,
/// in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// A request is forwarded to another data centre only if its score improves by more
/// than this, in milliseconds.
const MIN_SPILL_GAIN_MS: f64 = 100.0;

/// Replaces [`MIN_SPILL_GAIN_MS`] while requests are being forwarded already. It is
/// lower so that placement does not alternate between data centres.
const MIN_SPILL_GAIN_ONGOING_MS: f64 = 40.0;

/// Shortest retry delay of a refused request before the random part is added, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 250;

/// Longest retry delay of a refused request before the random part is added, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Share of the first-token target that a request may wait before it is refused, by priority.
const WAIT_SHARE_BY_PRIORITY: [f64; 4] = [0.5, 0.7, 0.85, 1.0];

/// Where a request goes, or why it is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs at an upstream of the local data centre.
    Local {
        /// Id of the upstream.
        upstream: Name,
    },
    /// The request is forwarded to a host of another data centre.
    Forward {
        /// Region of the data centre.
        region: Name,
        /// Data centre that takes the request.
        data_centre: Name,
        /// Host that receives the request, drawn from those of the data centre.
        host: Name,
    },
    /// The request is not placed; the caller receives its final answer at once.
    Refuse {
        /// Result code that the caller receives.
        code: Code,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An upstream or data centre with its estimate and score; a lower score is better.
struct Candidate<'a, R> {
    capacity: &'a R,
    estimate: Estimate,
    score_ms: f64,
}

/// Decides where a request goes. `rng` picks among nearly equal candidates and
/// spreads retry delays.
pub fn decide(
    request: &RequestFacts,
    view: &LoadView,
    profile: &Profile,
    rng: &mut SmallRng,
) -> Decision {
    let local = best_upstream(request, view, profile, rng);
    let remote = best_data_centre(request, view, profile, |capacity| {
        !request.tried.contains(&capacity.data_centre)
    });
    match (local, remote) {
        // A host may fail while the others of its data centre still take the request, for instance
        // if it has not heard of a new upstream yet.
        (None, None) => {
            let remote = best_data_centre(request, view, profile, |capacity| {
                capacity.hosts.iter().any(|host| request.failed_hosts.contains(host))
            });
            match remote {
                Some(remote) => forward(request, profile, &remote, rng),
                None => refuse_unplaced(profile, rng),
            }
        }
        (Some(local), None) => route_locally(request, profile, &local, rng),
        (None, Some(remote)) => forward(request, profile, &remote, rng),
        (Some(local), Some(remote)) if should_forward(&remote, &local, view, profile) => {
            forward(request, profile, &remote, rng)
        }
        (Some(local), Some(_)) => route_locally(request, profile, &local, rng),
    }
}

fn best_upstream<'a>(
    request: &RequestFacts,
    view: &'a LoadView,
    profile: &Profile,
    rng: &mut SmallRng,
) -> Option<Candidate<'a, UpstreamCapacity>> {
    let weights = Weights::of(profile, request);
    let tokens = RequestTokens::of(request, 0);
    let serving_sets: Vec<bool> =
        view.model_sets.iter().map(|models| serves(models, request)).collect();
    let mut shortlist = Shortlist::default();
    for (position, capacity) in view.upstreams.iter().enumerate() {
        if is_eligible(capacity, request, &serving_sets) {
            let estimate = estimate::at_upstream(capacity, &tokens);
            shortlist.offer(position, weights.score_ms(&estimate), estimate);
        }
    }
    for cached in &request.cached {
        let Some(position) = view.position(&cached.holder) else { continue };
        let capacity = &view.upstreams[position];
        if is_eligible(capacity, request, &serving_sets) {
            let tokens = RequestTokens::of(request, cached.tokens);
            let estimate = estimate::at_upstream(capacity, &tokens);
            shortlist.offer(position, weights.score_ms(&estimate), estimate);
        }
    }
    let chosen = shortlist.draw(rng)?;
    Some(Candidate {
        capacity: &view.upstreams[chosen.position],
        estimate: chosen.estimate,
        score_ms: chosen.score_ms,
    })
}

fn is_eligible(capacity: &UpstreamCapacity, request: &RequestFacts, serving_sets: &[bool]) -> bool {
    let serves = match capacity.model_set {
        Some(set) => serving_sets[set],
        None => serves(&capacity.models, request),
    };
    serves && !request.tried.contains(&capacity.upstream)
}

/// Whether an upstream with these models serves the request. An empty list means
/// that it serves any model.
fn serves(models: &[Name], request: &RequestFacts) -> bool {
    request.model.as_ref().is_none_or(|model| models.is_empty() || models.contains(model))
}

fn best_data_centre<'a>(
    request: &RequestFacts,
    view: &'a LoadView,
    profile: &Profile,
    may_take: impl Fn(&DataCentreCapacity) -> bool,
) -> Option<Candidate<'a, DataCentreCapacity>> {
    if request.forwarded {
        return None;
    }
    let weights = Weights::of(profile, request);
    let capacities = view.data_centres.iter().filter(|capacity| {
        let is_reachable =
            capacity.upstreams > 0 && untried_hosts(capacity, request).next().is_some();
        is_reachable && capacity.age_ms <= MAX_REPORT_AGE_MS && may_take(capacity)
    });
    let candidates = capacities.map(|capacity| {
        let cached = request.cached.iter().find(|cached| cached.holder == capacity.data_centre);
        let cached_tokens = cached.map_or(0, |cached| cached.tokens);
        let estimate = estimate::at_data_centre(capacity, request, cached_tokens);
        let score_ms = weights.score_ms(&estimate) + weights.away_cost_ms(capacity, &view.region);
        Candidate { capacity, estimate, score_ms }
    });
    candidates.min_by(|one, other| one.score_ms.total_cmp(&other.score_ms))
}

/// Hosts of a data centre to which the request may be forwarded.
fn untried_hosts<'a>(
    capacity: &'a DataCentreCapacity,
    request: &RequestFacts,
) -> impl Iterator<Item = &'a Name> {
    capacity.hosts.iter().filter(|host| !request.failed_hosts.contains(host))
}

/// Whether to forward a request: the local wait exceeds what the profile tolerates,
/// and the gain is large enough.
fn should_forward(
    remote: &Candidate<'_, DataCentreCapacity>,
    local: &Candidate<'_, UpstreamCapacity>,
    view: &LoadView,
    profile: &Profile,
) -> bool {
    let gain_ms = local.score_ms - remote.score_ms;
    let min_gain_ms = if view.spilling { MIN_SPILL_GAIN_ONGOING_MS } else { MIN_SPILL_GAIN_MS };
    gain_ms > min_gain_ms && local.estimate.wait_ms > tolerated_wait_ms(profile)
}

/// Local wait up to which a request is not forwarded, in milliseconds. It grows with
/// the away weight of the profile relative to its tail weight.
fn tolerated_wait_ms(profile: &Profile) -> f64 {
    let away = f64::from(profile.weight_away_milli);
    let tail = f64::from(profile.weight_tail_milli);
    f64::from(profile.first_token_target_ms) * away / (away + tail).max(1.0) / 2.0
}

fn route_locally(
    request: &RequestFacts,
    profile: &Profile,
    local: &Candidate<'_, UpstreamCapacity>,
    rng: &mut SmallRng,
) -> Decision {
    match refusal_reason(request, profile, &local.estimate) {
        None => Decision::Local { upstream: local.capacity.upstream.clone() },
        Some((code, excess_ms)) => refuse(code, excess_ms, rng),
    }
}

fn forward(
    request: &RequestFacts,
    profile: &Profile,
    remote: &Candidate<'_, DataCentreCapacity>,
    rng: &mut SmallRng,
) -> Decision {
    if let Some((code, excess_ms)) = refusal_reason(request, profile, &remote.estimate) {
        return refuse(code, excess_ms, rng);
    }
    let Some(host) = untried_hosts(remote.capacity, request).choose(rng) else {
        return refuse_unplaced(profile, rng);
    };
    Decision::Forward {
        region: remote.capacity.region.clone(),
        data_centre: remote.capacity.data_centre.clone(),
        host: host.clone(),
    }
}

/// Why a request is refused at the best candidate, with the milliseconds by which
/// it would be late there.
fn refusal_reason(
    request: &RequestFacts,
    profile: &Profile,
    estimate: &Estimate,
) -> Option<(Code, f64)> {
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

/// Refuses a request that no upstream or data centre can take.
fn refuse_unplaced(profile: &Profile, rng: &mut SmallRng) -> Decision {
    refuse(Code::NoUpstream, f64::from(profile.first_token_target_ms), rng)
}

/// Refuses a request with a randomized retry delay, so that refused callers do not
/// retry all at once.
fn refuse(code: Code, excess_ms: f64, rng: &mut SmallRng) -> Decision {
    let base_ms = (excess_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let retry_after_ms = base_ms + rng.random_range(0..=base_ms / 2);
    Decision::Refuse { code, retry_after_ms }
}
