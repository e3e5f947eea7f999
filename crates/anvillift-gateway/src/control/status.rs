//! Regions in which a revision is in force.

use std::collections::BTreeMap;

use anvillift_membership::view::HostView;
use anvillift_schema::name::Name;
use anvillift_schema::public::RegionStatus;

use crate::gateway::Gateway;

/// Number of hosts that must hold a revision in a region if none of them has a disk.
const MIN_DISKLESS_HOSTS: usize = 2;

/// Reports the state of a revision in each region.
pub(super) fn regions(gateway: &Gateway, revision: u64) -> BTreeMap<Name, RegionStatus> {
    let snapshot = gateway.snapshot.load();
    let mut regions: BTreeMap<Name, RegionStatus> = BTreeMap::new();
    let mut durable: BTreeMap<Name, bool> = BTreeMap::new();
    for (name, peer) in &gateway.settings.peers {
        let status = regions.entry(peer.region.clone()).or_insert_with(empty);
        let view = snapshot.view.hosts.get(name);
        match view.filter(|host| host.alive) {
            Some(host) if host.record.revision >= revision => {
                status.applied_hosts.push(name.clone());
                *durable.entry(peer.region.clone()).or_default() |=
                    host.record.storage_id.is_some();
            }
            Some(_) => status.behind_hosts.push(name.clone()),
            None => {
                status.silent.insert(name.clone(), silent_ms(gateway, view));
            }
        }
    }
    for (region, status) in &mut regions {
        let hosts = status.applied_hosts.len() + status.silent.len();
        let held = durable.get(region).copied().unwrap_or_default()
            || status.applied_hosts.len() >= MIN_DISKLESS_HOSTS.min(hosts);
        status.in_force =
            held && status.behind_hosts.is_empty() && !status.applied_hosts.is_empty();
    }
    regions
}

fn empty() -> RegionStatus {
    RegionStatus {
        applied_hosts: Vec::new(),
        behind_hosts: Vec::new(),
        in_force: false,
        silent: BTreeMap::new(),
    }
}

/// Time since the last heartbeat of a host, in milliseconds. A host that never sent one counts from
/// the start of the process.
fn silent_ms(gateway: &Gateway, view: Option<&HostView>) -> u64 {
    view.map_or_else(|| gateway.clock.uptime_ms(), |host| host.last_seen_age_ms)
}
