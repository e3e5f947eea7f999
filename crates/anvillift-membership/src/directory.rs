//! The hosts a caller should use for a service.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use anvillift_schema::public::{DirectoryAnswer, DirectoryHost};
use anvillift_schema::settings::Identity;

use crate::view::{HostView, View};

/// How long an answer holds, in milliseconds.
pub const VALID_MS: u64 = 500;

const FULL_WEIGHT: u32 = 100;
/// Requests in flight that halve the weight of a host.
const HALF_WEIGHT_REQUESTS: u32 = 64;

/// The hosts to use for `service`, best first, as seen from the host `identity`.
///
/// Hosts of the own region come first, then those whose data centre has an
/// upstream of the service; silent, starting and draining hosts are absent.
pub fn directory(view: &View, identity: &Identity, service: &Name) -> DirectoryAnswer {
    let serving = serving_data_centres(view, identity, service);
    let usable = |host: &&HostView| host.alive && host.record.state == HostState::Ready;
    let mut hosts: Vec<&HostView> = view.hosts.values().filter(usable).collect();
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
        hosts: hosts.into_iter().map(entry).collect(),
        service: service.clone(),
        valid_ms: VALID_MS,
    }
}

fn serving_data_centres(view: &View, identity: &Identity, service: &Name) -> BTreeSet<Name> {
    let own = view.upstreams.values().any(|upstream| upstream.announcement.service == *service);
    let others = view.data_centres.iter().filter(|(_, centre)| {
        centre.summary.services.iter().any(|room| room.service == *service && room.upstreams > 0)
    });
    let mut serving: BTreeSet<Name> = others.map(|(name, _)| name.clone()).collect();
    if own {
        serving.insert(identity.data_centre.clone());
    }
    serving
}

fn entry(host: &HostView) -> DirectoryHost {
    DirectoryHost {
        data_centre: host.record.data_centre.clone(),
        host: host.record.host.clone(),
        region: host.record.region.clone(),
        url: host.record.caller_url.clone(),
        weight: weight(host),
    }
}

fn weight(host: &HostView) -> u32 {
    let busy = host.record.in_flight_requests.saturating_add(HALF_WEIGHT_REQUESTS);
    (FULL_WEIGHT * HALF_WEIGHT_REQUESTS / busy).max(1)
}
