//! Placement policies: our own and the baselines that it is compared with.

use std::str::FromStr;

use anvillift_schema::code::Code;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::Decision;
use crate::load_view::{DataCentreRoom, LoadView};
use crate::request::RequestFacts;

/// When a caller refused by a baseline may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// How requests are placed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display)]
pub enum Policy {
    /// Load estimate, prefix index and spill.
    #[default]
    #[display("anvillift")]
    Anvillift,
    /// Every upstream of every allowed data centre in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The place with the fewest outstanding requests for each upstream.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// The upstream that the first prefix block hashes to; without one, the
    /// place with the fewest outstanding requests.
    #[display("prefix-affinity")]
    PrefixAffinity,
    /// The least loaded upstream of the own data centre, never another region.
    #[display("nearest-region")]
    NearestRegion,
}

impl Policy {
    /// Every policy, our own first.
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

/// A policy of this name does not exist.
#[derive(Clone, Debug, snafu::Snafu)]
#[snafu(display("there is no policy {name}"))]
pub struct UnknownPolicy {
    name: String,
}

/// Where a baseline sends a request.
///
/// `turn` counts the requests of the service on this host.
pub fn place(
    policy: Policy,
    request: &RequestFacts,
    view: &LoadView,
    turn: u64,
    draws: &mut SmallRng,
) -> Decision {
    let far = if request.forwarded || policy == Policy::NearestRegion {
        Vec::new()
    } else {
        reachable(request, view)
    };
    let local = local_positions(request, view);
    let choice = match policy {
        Policy::RoundRobin => by_turn(&local, &far, turn),
        Policy::PrefixAffinity if !request.prefix_blocks.is_empty() => {
            by_turn(&local, &far, request.prefix_blocks[0])
        }
        Policy::Anvillift
        | Policy::LeastOutstanding
        | Policy::PrefixAffinity
        | Policy::NearestRegion => by_outstanding(view, &local, &far),
    };
    match choice {
        Some(Choice::Local(position)) => {
            Decision::Local { upstream: view.upstreams[position].upstream.clone() }
        }
        Some(Choice::Far(room)) => forward(room, draws),
        None => Decision::Refuse { code: Code::NoUpstream, retry_after_ms: RETRY_AFTER_MS },
    }
}

enum Choice<'a> {
    Local(usize),
    Far(&'a DataCentreRoom),
}

fn reachable<'a>(request: &RequestFacts, view: &'a LoadView) -> Vec<&'a DataCentreRoom> {
    let open = |room: &&DataCentreRoom| {
        room.upstreams > 0 && !room.hosts.is_empty() && !request.tried.contains(&room.data_centre)
    };
    view.data_centres.iter().filter(open).collect()
}

fn local_positions(request: &RequestFacts, view: &LoadView) -> Vec<usize> {
    let untried = |position: &usize| !request.tried.contains(&view.upstreams[*position].upstream);
    (0..view.upstreams.len()).filter(untried).collect()
}

/// Takes the upstream at `turn`, counting through the own ones, then each data centre's.
fn by_turn<'a>(local: &[usize], far: &[&'a DataCentreRoom], turn: u64) -> Option<Choice<'a>> {
    let far_upstreams: u64 = far.iter().map(|room| u64::from(room.upstreams)).sum();
    let total = local.len() as u64 + far_upstreams;
    let mut position = turn.checked_rem(total)?;
    if let Some(own) = local.get(position as usize) {
        return Some(Choice::Local(*own));
    }
    position -= local.len() as u64;
    for room in far {
        if position < u64::from(room.upstreams) {
            return Some(Choice::Far(room));
        }
        position -= u64::from(room.upstreams);
    }
    None
}

fn by_outstanding<'a>(
    view: &LoadView,
    local: &[usize],
    far: &[&'a DataCentreRoom],
) -> Option<Choice<'a>> {
    let own = local.iter().map(|position| {
        let room = &view.upstreams[*position];
        let reported = room.load.running_requests + room.load.queued_requests;
        (f64::from(reported.max(room.own_in_flight)), Choice::Local(*position))
    });
    let others = far.iter().map(|room| {
        let outstanding = f64::from(room.running_requests) / f64::from(room.upstreams);
        (outstanding, Choice::Far(room))
    });
    let least = own.chain(others).min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map(|(_, choice)| choice)
}

fn forward(room: &DataCentreRoom, draws: &mut SmallRng) -> Decision {
    let host = draws.random_range(0..room.hosts.len());
    Decision::Forward {
        region: room.region.clone(),
        data_centre: room.data_centre.clone(),
        host: room.hosts[host].clone(),
    }
}
