//! Tests of whether requests may be forwarded to another region.
//!
//! Guards against refusing all requests whose home is another region while only the
//! cores have failed: all cores of all regions lose power at the same moment, and
//! the entry hosts go on (seen on riego-zacapa-large `scale-1`, where the hosts of
//! one region refused 1,338 attempts in two seconds).

use anvillift_fleet::{HostTable, HostTableSettings};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

const NOW_MS: u64 = 1_000_000;
/// Time after the last message of a core at which its region counts as unreachable.
const LATER_MS: u64 = NOW_MS + 2_000;

fn host(name: &str, region: &str, role: FleetHostRole) -> FleetHost {
    FleetHost {
        name: Name::from(name),
        role,
        state: FleetHostState::Ready,
        data_centre: Name::from(format!("{region}-a")),
        region: Name::from(region),
        boot: 1,
        revision: 1,
        caller_address: name.to_owned(),
        operator_address: String::new(),
        forward_address: name.to_owned(),
        storage_id: Name::default(),
        remembers_streams: true,
        shares_quarantine: true,
        cpu_millicores: None,
        shares_quotas: true,
        shares_trials: true,
        takes_leaves: true,
    }
}

/// The table of an entry host of the north, as it relies on reports of cores.
fn table() -> HostTable {
    let settings = HostTableSettings { reported_alive_ms: 16_000, reported_confirmed_ms: 2_500 };
    let mut table = HostTable::new(settings);
    for region in ["north", "south"] {
        let core = host(&format!("core-{region}"), region, FleetHostRole::Core);
        table.merge(NOW_MS, core, true);
        let entry = host(&format!("entry-{region}"), region, FleetHostRole::Entry);
        table.merge(NOW_MS, entry, false);
    }
    table
}

fn ready_entries(table: &HostTable, now_ms: u64) -> Vec<&str> {
    table.ready_entries_in(now_ms, "south").map(|host| host.name.as_str()).collect()
}

#[test]
fn a_region_whose_core_is_heard_is_reachable() {
    assert!(table().is_region_reachable(NOW_MS + 1_000, "south"));
}

/// The link between two regions is cut: the own core is still heard.
#[test]
fn a_region_whose_core_alone_is_silent_is_unreachable() {
    let mut table = table();
    for at_ms in (NOW_MS..=LATER_MS).step_by(600) {
        table.record_message(at_ms, "core-north");
    }
    assert!(!table.is_region_reachable(LATER_MS, "south"));
    table.record_message(LATER_MS, "core-south");
    assert!(table.is_region_reachable(LATER_MS, "south"));
}

/// Guards against requests that are refused for want of a region, because this host has stood
/// still and hears the core of another region first.
#[test]
fn a_region_is_reachable_while_the_first_core_is_heard_again() {
    let mut table = table();
    table.record_message(LATER_MS, "core-north");
    assert!(table.is_region_reachable(LATER_MS + 600, "south"));
    table.record_message(LATER_MS + 600, "core-north");
    table.record_message(LATER_MS + 1_200, "core-north");
    assert!(!table.is_region_reachable(LATER_MS + 1_500, "south"));
}

#[test]
fn a_region_stays_reachable_while_all_cores_are_down() {
    let table = table();
    assert!(table.is_region_reachable(LATER_MS, "south"));
    assert_eq!(ready_entries(&table, LATER_MS), ["entry-south"]);
}

/// The cores stay down for longer than their last reports are valid.
#[test]
fn entry_hosts_are_known_for_as_long_as_all_cores_are_down() {
    let mut table = table();
    let much_later_ms = NOW_MS + 40_000;
    table.remove_silent(NOW_MS + 5_000);
    assert_eq!(ready_entries(&table, much_later_ms), ["entry-south"]);
    table.record_message(much_later_ms, "core-north");
    assert_eq!(ready_entries(&table, much_later_ms), [] as [&str; 0]);
}

/// A region of which this host knows no core has no hosts that it could know of.
#[test]
fn a_region_without_a_known_core_is_unreachable() {
    assert!(!table().is_region_reachable(LATER_MS, "west"));
}
