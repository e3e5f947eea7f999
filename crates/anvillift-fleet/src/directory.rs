//! Which entry hosts a caller is told to use.
//!
//! A caller is sent to the hosts of its own region, since a request that starts
//! elsewhere carries its body across. Another region's hosts are named only
//! where the own one has none, not even one that is leaving and still serves.
//! Hosts that leave, start or have gone silent are never named beside one that
//! is ready.

use std::collections::BTreeSet;

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

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

/// The regions whose entry hosts a core tells which of them it hears: its own,
/// and those without a core of theirs, which the first of the cores takes over.
pub fn regions_told_by(hosts: &HostTable, now_ms: u64, core: &FleetHost) -> BTreeSet<Name> {
    let heard = hosts.heard_directly(now_ms);
    let is_core = |host: &&FleetHost| host.role == FleetHostRole::Core;
    let with_core: BTreeSet<&Name> =
        heard.iter().filter(is_core).map(|host| &host.region).chain([&core.region]).collect();
    let is_first = heard.iter().filter(is_core).all(|host| host.name >= core.name);
    let without_core = heard
        .iter()
        .map(|host| &host.region)
        .filter(|region| is_first && !with_core.contains(region));
    without_core.chain([&core.region]).cloned().collect()
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
