//! Placement policies: the default one and the baselines that it is compared with.

use std::str::FromStr;

use anvillift_schema::code::Code;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::Decision;
use crate::load_view::{DataCentreCapacity, LoadView};
use crate::request::RequestFacts;

/// Retry delay of a request that a baseline refuses, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// How requests are placed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display)]
pub enum Policy {
    /// The default: load estimates, prefix index and forwarding to other data centres.
    #[default]
    #[display("anvillift")]
    Anvillift,
    /// Each upstream of each allowed data centre in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The candidate with the fewest outstanding requests per upstream.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// The upstream that the first prefix block hashes to. A prompt without a
    /// complete block goes to the candidate with the fewest outstanding requests.
    #[display("prefix-affinity")]
    PrefixAffinity,
    /// The upstream of the local data centre with the fewest outstanding requests;
    /// requests never leave it.
    #[display("nearest-region")]
    NearestRegion,
}

impl Policy {
    /// Every policy, the default first.
    pub const ALL: [Self; 5] = [
        Self::Anvillift,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PrefixAffinity,
        Self::NearestRegion,
    ];
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.to_string() == text);
        found.ok_or_else(|| UnknownPolicy { name: text.to_owned() })
    }
}

/// Error for a text that does not name a policy.
#[derive(Clone, Debug, snafu::Snafu)]
#[snafu(display("unknown policy {name}"))]
pub struct UnknownPolicy {
    name: String,
}

/// Places a request by a baseline policy.
///
/// `request_number` is the number of the request among those of its service on this host;
/// round robin picks the upstream by it.
pub fn place(
    policy: Policy,
    request: &RequestFacts,
    view: &LoadView,
    request_number: u64,
    rng: &mut SmallRng,
) -> Decision {
    let remote = if request.forwarded || policy == Policy::NearestRegion {
        Vec::new()
    } else {
        reachable(request, view)
    };
    let local = local_positions(request, view);
    let choice = match policy {
        Policy::RoundRobin => by_modulo(&local, &remote, request_number),
        Policy::PrefixAffinity if !request.prefix_blocks.is_empty() => {
            by_modulo(&local, &remote, request.prefix_blocks[0])
        }
        Policy::Anvillift
        | Policy::LeastOutstanding
        | Policy::PrefixAffinity
        | Policy::NearestRegion => by_fewest_outstanding(view, &local, &remote),
    };
    match choice {
        Some(Choice::Local(position)) => {
            Decision::Local { upstream: view.upstreams[position].upstream.clone() }
        }
        Some(Choice::Remote(capacity)) => forward(capacity, rng),
        None => Decision::Refuse { code: Code::NoUpstream, retry_after_ms: RETRY_AFTER_MS },
    }
}

enum Choice<'a> {
    Local(usize),
    Remote(&'a DataCentreCapacity),
}

fn reachable<'a>(request: &RequestFacts, view: &'a LoadView) -> Vec<&'a DataCentreCapacity> {
    let is_reachable = |capacity: &&DataCentreCapacity| {
        capacity.upstreams > 0
            && !capacity.hosts.is_empty()
            && !request.tried.contains(&capacity.data_centre)
    };
    view.data_centres.iter().filter(is_reachable).collect()
}

fn local_positions(request: &RequestFacts, view: &LoadView) -> Vec<usize> {
    let is_untried =
        |position: &usize| !request.tried.contains(&view.upstreams[*position].upstream);
    (0..view.upstreams.len()).filter(is_untried).collect()
}

/// Picks the upstream at `request_number` modulo the number of upstreams, counting the local
/// ones first, then those of each data centre.
fn by_modulo<'a>(
    local: &[usize],
    remote: &[&'a DataCentreCapacity],
    request_number: u64,
) -> Option<Choice<'a>> {
    let remote_upstreams: u64 = remote.iter().map(|capacity| u64::from(capacity.upstreams)).sum();
    let total = local.len() as u64 + remote_upstreams;
    let mut position = request_number.checked_rem(total)?;
    if let Some(index) = local.get(position as usize) {
        return Some(Choice::Local(*index));
    }
    position -= local.len() as u64;
    for capacity in remote {
        if position < u64::from(capacity.upstreams) {
            return Some(Choice::Remote(capacity));
        }
        position -= u64::from(capacity.upstreams);
    }
    None
}

fn by_fewest_outstanding<'a>(
    view: &LoadView,
    local: &[usize],
    remote: &[&'a DataCentreCapacity],
) -> Option<Choice<'a>> {
    let local_candidates = local.iter().map(|position| {
        let capacity = &view.upstreams[*position];
        let reported = capacity.load.running_requests + capacity.load.queued_requests;
        (f64::from(reported.max(capacity.own_in_flight)), Choice::Local(*position))
    });
    let remote_candidates = remote.iter().map(|capacity| {
        let outstanding = f64::from(capacity.running_requests) / f64::from(capacity.upstreams);
        (outstanding, Choice::Remote(capacity))
    });
    let least = local_candidates
        .chain(remote_candidates)
        .min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map(|(_, choice)| choice)
}

fn forward(capacity: &DataCentreCapacity, rng: &mut SmallRng) -> Decision {
    let host = rng.random_range(0..capacity.hosts.len());
    Decision::Forward {
        region: capacity.region.clone(),
        data_centre: capacity.data_centre.clone(),
        host: capacity.hosts[host].clone(),
    }
}
