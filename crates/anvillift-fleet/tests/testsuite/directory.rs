//! Which hosts a caller is told to use.

use anvillift_fleet::{HostTable, directory};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

const NOW_MS: u64 = 1_000_000;

fn host(name: &str, region: &str, state: FleetHostState) -> FleetHost {
    FleetHost {
        name: Name::from(name),
        role: FleetHostRole::Entry,
        state,
        data_centre: Name::from(format!("{region}-a")),
        region: Name::from(region),
        boot: 1,
        revision: 1,
        caller_address: name.to_owned(),
        operator_address: String::new(),
        forward_address: String::new(),
        storage_id: Name::default(),
    }
}

fn table(hosts: &[FleetHost]) -> HostTable {
    let mut table = HostTable::new(7_000);
    for host in hosts {
        table.merge(NOW_MS, host.clone(), true);
    }
    table
}

#[test]
fn the_own_region_comes_first() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Ready),
        host("s1", "south", FleetHostState::Ready),
    ]);
    assert_eq!(directory::addresses(&hosts, NOW_MS, "north"), ["n1"]);
    assert_eq!(directory::addresses(&hosts, NOW_MS, "west").len(), 2);
}

#[test]
fn a_host_that_leaves_is_not_named_beside_a_ready_one() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Leaving),
        host("n2", "north", FleetHostState::Ready),
    ]);
    assert_eq!(directory::addresses(&hosts, NOW_MS, "north"), ["n2"]);
}

/// Seen on tricura-caves hunt-3527-35: both hosts of a region were being
/// restarted, and its callers were led to other regions.
#[test]
fn a_host_that_still_serves_is_named_before_another_region() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Leaving),
        host("n2", "north", FleetHostState::Starting),
        host("s1", "south", FleetHostState::Ready),
    ]);
    assert_eq!(directory::addresses(&hosts, NOW_MS, "north"), ["n1"]);
}

#[test]
fn a_silent_host_is_no_longer_named() {
    let mut hosts = table(&[host("n1", "north", FleetHostState::Ready)]);
    hosts.merge(NOW_MS + 9_000, host("n2", "north", FleetHostState::Ready), true);
    assert_eq!(directory::addresses(&hosts, NOW_MS + 9_000, "north"), ["n2"]);
}
