//! The entry hosts that a caller is directed to.
//!
//! Callers are directed to hosts of their own region, since a request that enters
//! elsewhere carries its body between regions. Hosts of another region are listed
//! only if the region of the caller has none that serves, not even one that is
//! leaving. Hosts that are leaving, starting or silent are never listed together
//! with ready ones.

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};

use crate::host_table::HostTable;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses of the entry hosts that a caller in a region is directed to.
pub fn addresses(hosts: &HostTable, now_ms: u64, region: &str) -> Vec<String> {
    let own = |host: &FleetHost| host.region.as_str() == region;
    let confirmed = hosts.confirmed_alive(now_ms);
    let alive: Vec<FleetHost> = hosts
        .iter(now_ms)
        .filter(|(_, is_alive)| *is_alive)
        .map(|(host, _)| host.clone())
        .collect();
    let choices = [
        usable(&confirmed, FleetHostState::Ready, own),
        usable(&alive, FleetHostState::Ready, own),
        usable(&confirmed, FleetHostState::Leaving, own),
        usable(&confirmed, FleetHostState::Ready, |_| true),
        usable(&alive, FleetHostState::Ready, |_| true),
    ];
    choices.into_iter().find(|addresses| !addresses.is_empty()).unwrap_or_default()
}

/// The entry hosts that a core informs about the other hosts. Each entry host is
/// informed by one core: the first by name in its data centre, else in its region,
/// else in the fleet.
pub fn hosts_informed_by(hosts: &HostTable, now_ms: u64, core: &FleetHost) -> Vec<FleetHost> {
    let direct_hosts = hosts.direct_hosts(now_ms);
    let other_cores = direct_hosts.iter().filter(|host| host.role == FleetHostRole::Core);
    let cores: Vec<&FleetHost> = other_cores.chain([core]).collect();
    let core_for = |entry: &FleetHost| {
        let distance =
            |core: &FleetHost| (core.data_centre != entry.data_centre, core.region != entry.region);
        cores.iter().min_by_key(|core| (distance(core), &core.name)).map(|core| &core.name)
    };
    let is_informed =
        |host: &&FleetHost| host.role == FleetHostRole::Entry && core_for(host) == Some(&core.name);
    direct_hosts.iter().filter(is_informed).cloned().collect()
}

fn usable(
    hosts: &[FleetHost],
    state: FleetHostState,
    wanted: impl Fn(&FleetHost) -> bool,
) -> Vec<String> {
    let usable = |host: &&FleetHost| {
        host.role == FleetHostRole::Entry
            && host.state == state
            && !host.caller_address.is_empty()
            && wanted(host)
    };
    let addresses = hosts.iter().filter(usable).map(|host| host.caller_address.clone());
    addresses.take(MAX_ADDRESSES).collect()
}
