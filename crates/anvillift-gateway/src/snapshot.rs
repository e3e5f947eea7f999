//! What membership knew at the last refresh.

use std::sync::Arc;

use anvillift_membership::view::{HostView, UpstreamView, View};
use anvillift_schema::configuration::Profile;
use anvillift_schema::membership::HostState;
use anvillift_schema::name::Name;

use crate::placement;

/// A view of membership and when it was taken.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) view: View,
    pub(crate) taken_ms: u64,
}

impl Snapshot {
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
