//! Which entry hosts a caller is told to use.
//!
//! A caller is sent to the hosts of its own region, since a request that starts
//! elsewhere carries its body across. Another region's hosts are named only
//! where the own one has none, not even one that is leaving and still serves.
//! Hosts that leave, start or have gone silent are never named beside one that
//! is ready.

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};

use crate::host_table::HostTable;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// The addresses for a caller in a region.
pub fn addresses(hosts: &HostTable, now_ms: u64, region: &str) -> Vec<String> {
    let own = |host: &FleetHost| host.region.as_str() == region;
    let sure = hosts.surely_alive(now_ms);
    let told: Vec<FleetHost> =
        hosts.iter(now_ms).filter(|(_, alive)| *alive).map(|(host, _)| host.clone()).collect();
    let choices = [
        usable(&sure, FleetHostState::Ready, own),
        usable(&told, FleetHostState::Ready, own),
        usable(&sure, FleetHostState::Leaving, own),
        usable(&sure, FleetHostState::Ready, |_| true),
        usable(&told, FleetHostState::Ready, |_| true),
    ];
    choices.into_iter().find(|addresses| !addresses.is_empty()).unwrap_or_default()
}

/// The entry hosts that a core tells which others are there. Each is told by one
/// core: the first of its data centre, else of its region, else of all.
pub fn told_by(hosts: &HostTable, now_ms: u64, core: &FleetHost) -> Vec<FleetHost> {
    let heard = hosts.heard_directly(now_ms);
    let others = heard.iter().filter(|host| host.role == FleetHostRole::Core);
    let cores: Vec<&FleetHost> = others.chain([core]).collect();
    let teller = |entry: &FleetHost| {
        let distance =
            |core: &FleetHost| (core.data_centre != entry.data_centre, core.region != entry.region);
        cores.iter().min_by_key(|core| (distance(core), &core.name)).map(|core| &core.name)
    };
    let is_told =
        |host: &&FleetHost| host.role == FleetHostRole::Entry && teller(host) == Some(&core.name);
    heard.iter().filter(is_told).cloned().collect()
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
