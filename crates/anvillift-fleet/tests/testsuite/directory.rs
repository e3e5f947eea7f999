//! Which hosts a caller is told to use.

use anvillift_fleet::{HostTable, HostTableSettings, directory};
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
    let mut table = HostTable::new(HostTableSettings::default());
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

fn core(name: &str, region: &str) -> FleetHost {
    let role = FleetHostRole::Core;
    FleetHost { role, caller_address: String::new(), ..host(name, region, FleetHostState::Ready) }
}

/// An entry host of the north with a peer that a core has told of.
fn table_of_an_entry() -> HostTable {
    let settings = HostTableSettings { told_alive_ms: 16_000, told_sure_ms: 2_500 };
    let mut table = HostTable::new(settings);
    table.merge(NOW_MS, host("n1", "north", FleetHostState::Ready), true);
    table.merge(NOW_MS, core("c1", "north"), true);
    table.merge(NOW_MS, host("n2", "north", FleetHostState::Ready), false);
    table
}

/// The pattern: callers ask an entry host, which hears its peers by a core only.
#[test]
fn an_entry_host_names_those_that_a_core_hears() {
    let mut hosts = table_of_an_entry();
    assert_eq!(directory::addresses(&hosts, NOW_MS, "north"), ["n1", "n2"]);
    let later_ms = NOW_MS + 4_000;
    for name in ["n1", "c1"] {
        hosts.heard(later_ms, name);
    }
    assert_eq!(directory::addresses(&hosts, later_ms, "north"), ["n1"], "n2 is gone");
    hosts.told(later_ms, "n2");
    assert_eq!(directory::addresses(&hosts, later_ms, "north"), ["n1", "n2"]);
}

/// Cut off from every core it can't tell who is there, and names all it knew.
#[test]
fn an_entry_host_without_cores_keeps_to_what_it_knew() {
    let mut hosts = table_of_an_entry();
    let later_ms = NOW_MS + 10_000;
    hosts.heard(later_ms, "n1");
    assert_eq!(directory::addresses(&hosts, later_ms, "north"), ["n1", "n2"]);
}

/// Each entry host is told by one core, so that the lists stay small, and by one
/// that is near, so that a cut leaves it to those that it reaches.
#[test]
fn each_entry_host_is_told_by_one_core() {
    let in_data_centre =
        |host: FleetHost, name: &str| FleetHost { data_centre: Name::from(name), ..host };
    let cores = [
        in_data_centre(core("c1", "north"), "north-a"),
        in_data_centre(core("c2", "north"), "north-b"),
        in_data_centre(core("c3", "south"), "south-a"),
    ];
    let ready = |name, region| host(name, region, FleetHostState::Ready);
    let entries = [
        in_data_centre(ready("n1", "north"), "north-a"),
        in_data_centre(ready("n2", "north"), "north-b"),
        in_data_centre(ready("n3", "north"), "north-c"),
        in_data_centre(ready("s1", "south"), "south-b"),
        in_data_centre(ready("w1", "west"), "west-a"),
    ];
    let hosts = table(&[cores.as_slice(), entries.as_slice()].concat());
    let told = |core: &FleetHost| {
        let told = directory::told_by(&hosts, NOW_MS, core);
        told.iter().map(|host| host.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(told(&cores[0]), ["n1", "n3", "w1"]);
    assert_eq!(told(&cores[1]), ["n2"]);
    assert_eq!(told(&cores[2]), ["s1"]);
}

/// The pattern: a fleet runs for hours, and its hosts change rarely. What was
/// told once must not be forgotten while it is told again, nor while nobody can
/// tell: the other hosts would each take the whole of the limits that they share.
#[test]
fn hosts_are_not_forgotten_while_they_are_told_of_or_nobody_tells() {
    let mut hosts = table_of_an_entry();
    let mut now_ms = NOW_MS;
    let mut pass = |hosts: &mut HostTable, seconds: u64, heard: &[&str], told: &[&str]| {
        for _ in 0..seconds {
            now_ms += 1_000;
            heard.iter().for_each(|name| hosts.heard(now_ms, name));
            told.iter().for_each(|name| hosts.told(now_ms, name));
            hosts.forget(now_ms);
        }
    };
    pass(&mut hosts, 300, &["n1", "c1"], &["n2"]);
    assert_eq!(hosts.entries_known(), 2, "told of again and again");
    pass(&mut hosts, 40, &["n1"], &[]);
    assert!(hosts.holds_share(NOW_MS + 340_000));
    pass(&mut hosts, 260, &["n1"], &[]);
    assert_eq!(hosts.entries_known(), 2, "out of touch");
    assert!(!hosts.holds_share(NOW_MS + 600_000), "the others have forgotten this one by now");
    pass(&mut hosts, 30, &["n1", "c1"], &[]);
    assert_eq!(hosts.entries_known(), 2, "in touch again for a little while");
    pass(&mut hosts, 60, &["n1", "c1"], &[]);
    assert_eq!(hosts.entries_known(), 1, "nobody hears it any more");
}
