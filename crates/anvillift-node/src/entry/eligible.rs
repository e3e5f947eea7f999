//! Checks which workers may get a request, by what they report and what they have said in
//! their answers. The policy is [`eligibility`].

use std::collections::BTreeSet;

use anvillift_fleet::eligibility::{EligibilityFacts, Ineligible};
use anvillift_fleet::{LimitSharers, VersionConstraint, WorkerEntry, WorkerNotice, eligibility};
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::dispatch_state::DispatchState;
use crate::fleet_view::FleetView;

/// Time after the start of this host by which it has received the names of all
/// entry hosts of its region, in milliseconds.
const ALL_HOSTS_DISCOVERED_AFTER_MS: u64 = 5_000;
/// Wait for a worker with a limit while this host may not use its share of limits, in
/// milliseconds.
const NO_SHARE_WAIT_MS: u64 = 1_000;

/// The entry hosts of this host's region, which share the limits of its workers.
pub(super) struct RegionHosts {
    own_name: Name,
    hosts: Vec<Name>,
    has_discovered_all_hosts: bool,
    /// Whether this host may use its share.
    pub(super) may_use_share: bool,
}

impl RegionHosts {
    pub(super) fn names(&self) -> &[Name] {
        &self.hosts
    }

    pub(super) fn sharers(&self) -> LimitSharers<'_> {
        LimitSharers {
            own_name: &self.own_name,
            hosts: &self.hosts,
            has_discovered_all_hosts: self.has_discovered_all_hosts,
        }
    }
}

impl Entry {
    pub(super) fn region_hosts(&self, view: &FleetView) -> RegionHosts {
        let now_ms = clock::now_ms();
        RegionHosts {
            own_name: self.node.own_host().name,
            hosts: view.hosts.entry_names_in(&self.node.settings.region),
            has_discovered_all_hosts: now_ms >= self.started_ms + ALL_HOSTS_DISCOVERED_AFTER_MS,
            may_use_share: view.hosts.may_use_share(now_ms),
        }
    }
}

/// Checks whether a worker may get a request that was sent to `tried` before.
pub(super) fn check(
    view: &FleetView,
    dispatch: &DispatchState,
    region_hosts: &RegionHosts,
    worker: &WorkerEntry,
    tried: &BTreeSet<Name>,
    version_constraint: &VersionConstraint,
) -> Result<(), Ineligible> {
    let now_ms = clock::now_ms();
    let notice = dispatch.notices.get(&worker.start());
    eligibility::check(&EligibilityFacts {
        now_ms,
        worker,
        notice,
        limit_wait_ms: limit_wait_ms(now_ms, dispatch, region_hosts, worker, &notice),
        evacuated: &view.control.evacuated,
        tried,
        version_constraint,
    })
}

/// Time until this host may send a request to a worker under the limit that the worker
/// has named, in milliseconds.
fn limit_wait_ms(
    now_ms: u64,
    dispatch: &DispatchState,
    region_hosts: &RegionHosts,
    worker: &WorkerEntry,
    notice: &WorkerNotice,
) -> u64 {
    let Some(limit) = notice.limit.filter(|limit| !limit.is_over(now_ms)) else { return 0 };
    if !region_hosts.may_use_share {
        return NO_SHARE_WAIT_MS;
    }
    dispatch.limit_share.wait_ms(now_ms, &worker.start(), &limit, &region_hosts.sharers())
}
