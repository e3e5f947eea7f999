//! The decision where a request goes.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::load_view::LoadView;
use crate::request::RequestFacts;

/// When a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

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

/// Decides where a request goes. The same arguments give the same decision.
pub fn decide(
    request: &RequestFacts,
    view: &LoadView,
    _profile: &Profile,
    draws: &mut SmallRng,
) -> Decision {
    let fresh = |name: &Name| !request.tried.contains(name);
    let local: Vec<&Name> = view
        .upstreams
        .iter()
        .map(|room| &room.upstream)
        .filter(|upstream| fresh(upstream))
        .collect();
    if !local.is_empty() {
        let upstream = local[draws.random_range(0..local.len())].clone();
        return Decision::Local { upstream };
    }
    let far = view.data_centres.iter().find(|room| room.upstreams > 0 && !room.hosts.is_empty());
    if let Some(room) = far.filter(|_| !request.forwarded) {
        let host = room.hosts[draws.random_range(0..room.hosts.len())].clone();
        let (region, data_centre) = (room.region.clone(), room.data_centre.clone());
        return Decision::Forward { region, data_centre, host };
    }
    Decision::Refuse { code: Code::NoUpstream, retry_after_ms: RETRY_AFTER_MS }
}
