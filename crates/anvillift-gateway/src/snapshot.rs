//! View of membership at the last refresh.

use std::sync::Arc;

use anvillift_membership::view::{HostView, UpstreamView, View};
use anvillift_routing::team_limit::Owners;
use anvillift_schema::configuration::Profile;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use anvillift_schema::settings::Identity;

use crate::placement;

/// A view of membership and the time of its refresh.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) view: View,
    pub(crate) taken_ms: u64,
    /// Hosts of this host's data centre that own the buckets of teams.
    pub(crate) owners: Owners,
}

impl Snapshot {
    /// Builds the snapshot of host `own` from the view at `taken_ms`. The host `own` is among the
    /// owners of buckets even while it is not ready.
    pub(crate) fn new(view: View, taken_ms: u64, own: &Identity) -> Self {
        let hosts = view.hosts.values().map(|host| (host.alive, &host.record));
        let owners = hosts.filter(|(alive, record)| {
            let is_ready = *alive && record.state == HostState::Ready;
            record.host == own.name || is_ready && record.data_centre == own.data_centre
        });
        let owners = Owners::new(owners.map(|(_, record)| record.host.clone()));
        Self { view, taken_ms, owners }
    }

    /// Finds an upstream; `None` if its last announcement is older than `expiry_ms` at `now_ms`.
    pub(crate) fn upstream(
        &self,
        name: &Name,
        now_ms: u64,
        expiry_ms: u64,
    ) -> Option<&UpstreamView> {
        let elapsed_ms = now_ms.saturating_sub(self.taken_ms);
        let upstream = self.view.upstreams.get(name)?;
        (upstream.last_seen_age_ms + elapsed_ms <= expiry_ms).then_some(upstream)
    }

    /// Lists ready hosts in the places of a profile, if one is given. Hosts of `region` come
    /// first. Within a region, hosts of `data_centre` come first, then those with fewer requests in
    /// flight.
    pub(crate) fn usable_hosts(
        &self,
        profile: Option<&Arc<Profile>>,
        region: &Name,
        data_centre: &Name,
    ) -> Vec<&HostView> {
        let is_usable = |host: &&HostView| {
            let record = &host.record;
            host.alive
                && record.state == HostState::Ready
                && profile.is_none_or(|profile| {
                    placement::allows(profile, &record.region, &record.data_centre)
                })
        };
        let mut hosts: Vec<&HostView> = self.view.hosts.values().filter(is_usable).collect();
        hosts.sort_by_key(|host| {
            let record = &host.record;
            (
                record.region != *region,
                record.data_centre != *data_centre,
                record.in_flight_requests,
            )
        });
        hosts
    }
}
