//! Ranks the hosts that a caller should use for a service.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use anvillift_schema::public::{DirectoryAnswer, DirectoryHost};
use anvillift_schema::settings::Identity;

use crate::view::{HostView, View};

/// How long a caller may use an answer before it asks again, in milliseconds.
pub const VALID_MS: u64 = 500;

const FULL_WEIGHT: u32 = 100;
/// Number of requests in flight at which a host has half of the full weight.
const HALF_WEIGHT_REQUESTS: u32 = 64;

/// Returns the hosts to use for `service`, best first, as seen from the host `identity`.
///
/// Hosts of the same region come first, then those whose data centre has an
/// upstream of the service. Silent, starting and draining hosts are left out.
pub fn directory(view: &View, identity: &Identity, service: &Name) -> DirectoryAnswer {
    let serving = serving_data_centres(view, identity, service);
    let is_usable = |host: &&HostView| host.alive && host.record.state == HostState::Ready;
    let mut hosts: Vec<&HostView> = view.hosts.values().filter(is_usable).collect();
    hosts.sort_by_key(|host| {
        let record = &host.record;
        Reverse((
            record.region == identity.region,
            serving.contains(&record.data_centre),
            record.data_centre == identity.data_centre,
            weight(host),
            Reverse(record.host.clone()),
        ))
    });
    DirectoryAnswer {
        hosts: hosts.into_iter().map(to_entry).collect(),
        service: service.clone(),
        valid_ms: VALID_MS,
    }
}

fn serving_data_centres(view: &View, identity: &Identity, service: &Name) -> BTreeSet<Name> {
    let has_local_upstream =
        view.upstreams.values().any(|upstream| upstream.announcement.service == *service);
    let remote = view.data_centres.iter().filter(|(_, data_centre)| {
        data_centre
            .summary
            .services
            .iter()
            .any(|summary| summary.service == *service && summary.upstreams > 0)
    });
    let mut serving: BTreeSet<Name> = remote.map(|(name, _)| name.clone()).collect();
    if has_local_upstream {
        serving.insert(identity.data_centre.clone());
    }
    serving
}

fn to_entry(host: &HostView) -> DirectoryHost {
    DirectoryHost {
        data_centre: host.record.data_centre.clone(),
        host: host.record.host.clone(),
        region: host.record.region.clone(),
        url: host.record.caller_url.clone(),
        weight: weight(host),
    }
}

fn weight(host: &HostView) -> u32 {
    let load = host.record.in_flight_requests.saturating_add(HALF_WEIGHT_REQUESTS);
    (FULL_WEIGHT * HALF_WEIGHT_REQUESTS / load).max(1)
}
