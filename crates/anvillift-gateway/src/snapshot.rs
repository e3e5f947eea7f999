//! What membership knew at the last refresh.

use std::sync::Arc;

use anvillift_membership::view::{HostView, UpstreamView, View};
use anvillift_routing::team_limit::Owners;
use anvillift_schema::configuration::Profile;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;
use anvillift_schema::settings::Identity;

use crate::placement;

/// A view of membership and when it was taken.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) view: View,
    pub(crate) taken_ms: u64,
    /// Hosts of the own data centre that may own the buckets of teams.
    pub(crate) owners: Owners,
}

impl Snapshot {
    /// What is known at `taken_ms` on a host of a data centre.
    pub(crate) fn new(view: View, taken_ms: u64, own: &Identity) -> Self {
        let inside = view.hosts.values().map(|host| (host.alive, &host.record));
        let ready = inside.filter(|(alive, record)| {
            let takes = *alive && record.state == HostState::Ready;
            record.host == own.name || takes && record.data_centre == own.data_centre
        });
        let owners = Owners::new(ready.map(|(_, record)| record.host.clone()));
        Self { view, taken_ms, owners }
    }

    /// An upstream that is still fresh at `now_ms`.
    pub(crate) fn upstream(
        &self,
        name: &Name,
        now_ms: u64,
        expiry_ms: u64,
    ) -> Option<&UpstreamView> {
        let since_ms = now_ms.saturating_sub(self.taken_ms);
        let known = self.view.upstreams.get(name)?;
        (known.heard_age_ms + since_ms <= expiry_ms).then_some(known)
    }

    /// Hosts that take requests and that a profile allows, nearest first.
    pub(crate) fn usable_hosts(
        &self,
        profile: Option<&Arc<Profile>>,
        region: &Name,
        data_centre: &Name,
    ) -> Vec<&HostView> {
        let usable = |host: &&HostView| {
            let record = &host.record;
            host.alive
                && record.state == HostState::Ready
                && profile.is_none_or(|profile| {
                    placement::allows(profile, &record.region, &record.data_centre)
                })
        };
        let mut hosts: Vec<&HostView> = self.view.hosts.values().filter(usable).collect();
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
