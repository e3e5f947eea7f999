//! The entry hosts that a caller is directed to.
//!
//! Callers are directed to hosts of their own region, since a request that enters
//! elsewhere carries its body between regions. Hosts of another region are listed
//! only if the region of the caller has none that serves, not even one that is
//! leaving. Hosts that are leaving, starting or silent are never listed together
//! with ready ones.
//!
//! An answer has room for a limited number of hosts. If there are more, those of the
//! caller's data centre come first, and the others in an order that differs between
//! the hosts that answer. Every host is thus listed to some callers, and a caller
//! that asks the same host again receives the same hosts and keeps its connections.
//! Where hosts differ in capacity, the smaller ones are listed in turns
//! (`weighted_listing`).

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::rendezvous;

use crate::host_table::HostTable;
use crate::weighted_listing::{self, WindowPosition};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// A caller's question for entry hosts.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Region of the caller.
    pub region: &'a str,
    /// Data centre of the caller; may be empty.
    pub data_centre: &'a str,
    /// Name of the host that answers.
    pub answering_host: &'a str,
}

/// Addresses of the entry hosts that a caller is directed to.
pub fn addresses(hosts: &HostTable, now_ms: u64, question: &Question<'_>) -> Vec<String> {
    let own = |host: &FleetHost| host.region.as_str() == question.region;
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
    let listed = choices.into_iter().find(|hosts| !hosts.is_empty()).unwrap_or_default();
    let listed = if weighted_listing::is_mixed(&listed) {
        let position = window_position(hosts, now_ms, question);
        weighted_listing::select(&listed, MAX_ADDRESSES, question.data_centre, position)
    } else {
        limit(listed, question)
    };
    listed.iter().map(|host| host.caller_address.clone()).collect()
}

/// The position of the answering host among those of its role and region.
fn window_position(hosts: &HostTable, now_ms: u64, question: &Question<'_>) -> WindowPosition {
    let own = hosts.get(question.answering_host);
    let is_peer = |host: &FleetHost| {
        own.is_some_and(|own| host.region == own.region && host.role == own.role)
    };
    let peers: Vec<&FleetHost> =
        hosts.iter(now_ms).map(|(host, _)| host).filter(|host| is_peer(host)).collect();
    let before = |host: &&&FleetHost| host.name.as_str() < question.answering_host;
    let index = peers.iter().filter(before).count();
    WindowPosition::new(now_ms, question, index, peers.len())
}

/// The hosts that fit into one answer, in the order of their names.
fn limit<'a>(mut hosts: Vec<&'a FleetHost>, question: &Question<'_>) -> Vec<&'a FleetHost> {
    if hosts.len() > MAX_ADDRESSES {
        let key = rendezvous::hash(question.answering_host.as_bytes());
        hosts.sort_by_key(|host| {
            let is_elsewhere = host.data_centre.as_str() != question.data_centre;
            (is_elsewhere, rendezvous::rank(key, &host.name))
        });
        hosts.truncate(MAX_ADDRESSES);
        hosts.sort_by_key(|host| &host.name);
    }
    hosts
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
) -> Vec<&FleetHost> {
    let usable = |host: &&FleetHost| {
        host.role == FleetHostRole::Entry
            && host.state == state
            && !host.caller_address.is_empty()
            && wanted(host)
    };
    hosts.iter().filter(usable).collect()
}
