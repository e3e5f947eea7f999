//! Chooses the entry hosts to which requests are forwarded: hosts of other regions, and other hosts of
//! this region while this host reaches no worker.

use std::collections::BTreeSet;

use anvillift_fleet::choose::Degradation;
use anvillift_schema::fleet::FleetHost;
use anvillift_schema::name::Name;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempts::Attempts;
use crate::entry::request::Request;
use crate::entry::target::Target;
use crate::entry::target_reason::TargetReason;
use crate::fleet_view::FleetView;

/// Most connections to one other entry host.
const MAX_HOST_CONNECTIONS: usize = 256;

impl Entry {
    /// A random healthy entry host of another region with workers of the service;
    /// `only` restricts it to one region.
    pub(super) fn remote_target(
        &self,
        view: &FleetView,
        request: &Request,
        attempts: &Attempts,
        only: Option<&Name>,
        reason: TargetReason,
    ) -> Option<Target> {
        let now_ms = clock::now_ms();
        let own = &self.node.settings.region;
        let is_reachable = |region: &Name| view.hosts.is_region_reachable(now_ms, region);
        let regions = serving_regions(self, view, request, attempts)
            .into_iter()
            .filter(|region| *region != own)
            .filter(|region| only.is_none_or(|only| only == *region) && is_reachable(region));
        let hosts = regions.flat_map(|region| view.hosts.ready_entries_in(now_ms, region));
        self.random_host(hosts.collect(), attempts, reason)
    }

    /// A random healthy entry host of this region beside this one, which may reach the workers that
    /// this one doesn't.
    pub(super) fn sibling_target(
        &self,
        view: &FleetView,
        request: &Request,
        attempts: &Attempts,
    ) -> Option<Target> {
        let own = &self.node.settings.region;
        if !serving_regions(self, view, request, attempts).contains(own) {
            return None;
        }
        let own_name = self.node.own_host().name;
        let siblings = view.hosts.ready_entries_in(clock::now_ms(), own);
        let siblings = siblings.filter(|host| host.name != own_name);
        self.random_host(siblings.collect(), attempts, TargetReason::Sibling)
    }

    fn random_host(
        &self,
        mut hosts: Vec<&FleetHost>,
        attempts: &Attempts,
        reason: TargetReason,
    ) -> Option<Target> {
        let now_ms = clock::now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        hosts.retain(|host| {
            !attempts.tried.contains(&host.name)
                && dispatch.host_degradation(now_ms, host) == Degradation::None
        });
        if hosts.is_empty() {
            return None;
        }
        let host = hosts[dispatch.rng.random_range(0..hosts.len())];
        Some(Target {
            name: host.name.clone(),
            address: host.forward_address.parse().ok()?,
            is_host: true,
            born_ms: 0,
            version: attempts.version_constraint.required().cloned(),
            connection_limit: MAX_HOST_CONNECTIONS,
            reason,
        })
    }
}

/// The regions in which a request may run and which have workers for it.
pub(super) fn serving_regions<'a>(
    entry: &'a Entry,
    view: &'a FleetView,
    request: &'a Request,
    attempts: &'a Attempts,
) -> BTreeSet<&'a Name> {
    let settings = &entry.node.settings;
    view.workers
        .ready(&request.service)
        .filter(|worker| attempts.version_constraint.allows(worker.report.version.as_ref()))
        .filter(|worker| !view.control.evacuated.contains(&worker.report.data_centre))
        .filter_map(|worker| settings.region_of(&worker.report.data_centre))
        .filter(|region| request.allows_region(region))
        .collect()
}
