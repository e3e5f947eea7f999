//! Tests of the hosts that callers are directed to, and of the host table behind them.

use std::collections::BTreeSet;

use anvillift_fleet::directory::Question;
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
        remembers_streams: true,
        shares_quarantine: true,
        cpu_millicores: None,
        shares_quotas: true,
        shares_trials: true,
        takes_leaves: true,
    }
}

fn table(hosts: &[FleetHost]) -> HostTable {
    let mut table = HostTable::new(HostTableSettings::default());
    for host in hosts {
        table.merge(NOW_MS, host.clone(), true);
    }
    table
}

fn addresses(hosts: &HostTable, now_ms: u64, region: &str) -> Vec<String> {
    let question = Question { region, data_centre: "", answering_host: "n1" };
    directory::addresses(hosts, now_ms, &question)
}

#[test]
fn hosts_of_the_region_of_the_caller_come_first() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Ready),
        host("s1", "south", FleetHostState::Ready),
    ]);
    assert_eq!(addresses(&hosts, NOW_MS, "north"), ["n1"]);
    assert_eq!(addresses(&hosts, NOW_MS, "west").len(), 2);
}

#[test]
fn a_leaving_host_is_not_listed_beside_a_ready_one() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Leaving),
        host("n2", "north", FleetHostState::Ready),
    ]);
    assert_eq!(addresses(&hosts, NOW_MS, "north"), ["n2"]);
}

/// Guards against sending callers to other regions while their own still serves:
/// both hosts of a region were being restarted (seen on tricura-caves
/// hunt-3527-35).
#[test]
fn a_leaving_host_is_listed_before_those_of_another_region() {
    let hosts = table(&[
        host("n1", "north", FleetHostState::Leaving),
        host("n2", "north", FleetHostState::Starting),
        host("s1", "south", FleetHostState::Ready),
    ]);
    assert_eq!(addresses(&hosts, NOW_MS, "north"), ["n1"]);
}

#[test]
fn a_silent_host_is_not_listed() {
    let mut hosts = table(&[host("n1", "north", FleetHostState::Ready)]);
    hosts.merge(NOW_MS + 9_000, host("n2", "north", FleetHostState::Ready), true);
    assert_eq!(addresses(&hosts, NOW_MS + 9_000, "north"), ["n2"]);
}

fn core(name: &str, region: &str) -> FleetHost {
    let role = FleetHostRole::Core;
    FleetHost { role, caller_address: String::new(), ..host(name, region, FleetHostState::Ready) }
}

/// The table of an entry host in region north, with another entry host that a core has reported.
fn table_of_an_entry() -> HostTable {
    let settings = HostTableSettings { reported_alive_ms: 16_000, reported_confirmed_ms: 2_500 };
    let mut table = HostTable::new(settings);
    table.merge(NOW_MS, host("n1", "north", FleetHostState::Ready), true);
    table.merge(NOW_MS, core("c1", "north"), true);
    table.merge(NOW_MS, host("n2", "north", FleetHostState::Ready), false);
    table
}

/// Callers ask an entry host, which has no direct link to the other entry hosts and
/// relies on the reports of a core.
#[test]
fn an_entry_host_lists_the_hosts_that_a_core_reports() {
    let mut hosts = table_of_an_entry();
    assert_eq!(addresses(&hosts, NOW_MS, "north"), ["n1", "n2"]);
    let later_ms = NOW_MS + 4_000;
    for name in ["n1", "c1"] {
        hosts.record_message(later_ms, name);
    }
    assert_eq!(addresses(&hosts, later_ms, "north"), ["n1"], "n2 is no longer reported");
    hosts.record_report(later_ms, "n2");
    assert_eq!(addresses(&hosts, later_ms, "north"), ["n1", "n2"]);
}

/// An entry host without contact to any core cannot determine which hosts are alive,
/// and lists all hosts in its table.
#[test]
fn an_isolated_entry_host_lists_all_hosts_in_its_table() {
    let mut hosts = table_of_an_entry();
    let later_ms = NOW_MS + 10_000;
    hosts.record_message(later_ms, "n1");
    assert_eq!(addresses(&hosts, later_ms, "north"), ["n1", "n2"]);
}

/// Each entry host is informed by one core, so that the lists stay small. That core
/// is near, so that after a network partition an entry host is informed by a core
/// that it reaches.
#[test]
fn each_entry_host_is_informed_by_one_core() {
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
    let informed_by = |core: &FleetHost| {
        let informed = directory::hosts_informed_by(&hosts, NOW_MS, core);
        informed.iter().map(|host| host.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(informed_by(&cores[0]), ["n1", "n3", "w1"]);
    assert_eq!(informed_by(&cores[1]), ["n2"]);
    assert_eq!(informed_by(&cores[2]), ["s1"]);
}

/// Guards against removing live hosts: in a fleet that runs for hours its hosts
/// change rarely. A host must stay in the table while it is reported again, and
/// while this host is isolated. Otherwise each remaining host would use the whole
/// of the limits that they share.
#[test]
fn hosts_are_kept_while_they_are_reported_or_this_host_is_isolated() {
    let mut hosts = table_of_an_entry();
    let mut now_ms = NOW_MS;
    let mut advance = |hosts: &mut HostTable, seconds: u64, direct: &[&str], reported: &[&str]| {
        for _ in 0..seconds {
            now_ms += 1_000;
            direct.iter().for_each(|name| hosts.record_message(now_ms, name));
            reported.iter().for_each(|name| hosts.record_report(now_ms, name));
            hosts.remove_silent(now_ms);
        }
    };
    advance(&mut hosts, 300, &["n1", "c1"], &["n2"]);
    assert_eq!(hosts.entry_count(), 2, "n2 is reported every second");
    advance(&mut hosts, 40, &["n1"], &[]);
    assert!(hosts.may_use_share(NOW_MS + 340_000));
    advance(&mut hosts, 260, &["n1"], &[]);
    assert_eq!(hosts.entry_count(), 2, "isolated");
    assert!(!hosts.may_use_share(NOW_MS + 600_000), "the other hosts have removed this one by now");
    advance(&mut hosts, 30, &["n1", "c1"], &[]);
    assert_eq!(hosts.entry_count(), 2, "connected again, for less time than the removal takes");
    advance(&mut hosts, 60, &["n1", "c1"], &[]);
    assert_eq!(hosts.entry_count(), 1, "no host reports n2 any more");
}

/// Hosts of two data centres of one region, `count` each.
fn two_data_centres(count: usize) -> Vec<FleetHost> {
    let in_data_centre = |letter: &'static str| {
        (0..count).map(move |number| FleetHost {
            data_centre: Name::from(format!("north-{letter}")),
            ..host(&format!("{letter}{number:03}"), "north", FleetHostState::Ready)
        })
    };
    in_data_centre("a").chain(in_data_centre("b")).collect()
}

/// The hosts that are listed to the callers of both data centres, by several hosts.
fn listed_by_all(hosts: &HostTable) -> BTreeSet<String> {
    let mut listed = BTreeSet::new();
    for data_centre in ["north-a", "north-b"] {
        for answering_host in ["a000", "a001", "a002", "b000", "b001", "b002", "b003", "b004"] {
            let question = Question { region: "north", data_centre, answering_host };
            let addresses = directory::addresses(hosts, NOW_MS, &question);
            assert_eq!(addresses.len(), 64);
            listed.extend(addresses);
        }
    }
    listed
}

/// Guards against hosts that never receive a caller: a region of 126 hosts, of which
/// an answer can list 64.
#[test]
fn every_host_of_a_large_region_is_listed_to_some_callers() {
    let hosts = table(&two_data_centres(63));
    assert_eq!(listed_by_all(&hosts).len(), 126);
}

/// The same for data centres that are each larger than an answer.
#[test]
fn every_host_of_a_large_data_centre_is_listed_to_some_callers() {
    let hosts = table(&two_data_centres(90));
    assert_eq!(listed_by_all(&hosts).len(), 180);
}

/// A caller drops its connections to hosts that a new answer does not list.
#[test]
fn a_host_lists_the_same_hosts_to_a_caller_each_time() {
    let hosts = table(&two_data_centres(63));
    let question = Question { region: "north", data_centre: "north-b", answering_host: "a001" };
    let first = directory::addresses(&hosts, NOW_MS, &question);
    assert_eq!(directory::addresses(&hosts, NOW_MS + 500, &question), first);
    let own = first.iter().filter(|address| address.starts_with('b')).count();
    assert_eq!(own, 63, "not all hosts of the caller's data centre are listed");
}

/// Ready hosts of one region with these capacities, in two data centres.
fn hosts_of(capacities: impl IntoIterator<Item = Option<u64>>) -> Vec<FleetHost> {
    let host = |(number, cpu_millicores): (usize, Option<u64>)| FleetHost {
        data_centre: Name::from(["north-a", "north-b"][number % 2]),
        cpu_millicores,
        ..host(&format!("10.1.0.{number}:7260"), "north", FleetHostState::Ready)
    };
    capacities.into_iter().enumerate().map(host).collect()
}

/// The answer of each host of a fleet to the callers of both data centres, at one time.
fn answers(fleet: &[FleetHost], now_ms: u64) -> Vec<Vec<String>> {
    let mut hosts = table(fleet);
    fleet.iter().for_each(|host| hosts.record_message(now_ms, &host.name));
    let answer = |answering_host: &FleetHost, data_centre| {
        let answering_host = &answering_host.name;
        let question = Question { region: "north", data_centre, answering_host };
        directory::addresses(&hosts, now_ms, &question)
    };
    fleet.iter().flat_map(|host| ["north-a", "north-b"].map(|name| answer(host, name))).collect()
}

/// The largest deviation of a host's share of the callers from its share of the
/// capacity, as a fraction of that. Callers ask all hosts equally often, during `slots`
/// slots of 6 s.
fn largest_deviation(fleet: &[FleetHost], slots: u64) -> f64 {
    let answers: Vec<Vec<String>> =
        (0..slots).flat_map(|slot| answers(fleet, NOW_MS + slot * 6_000)).collect();
    let capacity = |host: &FleetHost| host.cpu_millicores.unwrap() as f64;
    let total: f64 = fleet.iter().map(capacity).sum();
    let deviation = |host: &FleetHost| {
        let listing = answers.iter().filter(|answer| answer.contains(&host.caller_address));
        let callers: f64 = listing.map(|answer| 1.0 / answer.len() as f64).sum();
        (callers / answers.len() as f64 / (capacity(host) / total) - 1.0).abs()
    };
    fleet.iter().map(deviation).fold(0.0, f64::max)
}

/// Mixtures of large and small hosts: two sizes, four sizes, a size for each host.
fn mixtures() -> [Vec<FleetHost>; 3] {
    [
        hosts_of((0..22).map(|number| Some(if number % 3 == 0 { 300 } else { 90 }))),
        hosts_of((0..25).map(|number| Some([300, 90, 120, 200][number % 4]))),
        hosts_of((0..20).map(|number| Some(90 + 11 * number))),
    ]
}

/// Guards against small hosts that get as many callers as large ones and are
/// overloaded by them.
#[test]
fn callers_are_spread_in_proportion_to_the_capacity_of_hosts() {
    for (mixture, fleet) in mixtures().iter().enumerate() {
        let deviation = largest_deviation(fleet, 20);
        assert!(deviation < 0.1, "mixture {mixture}: {deviation}");
    }
}

/// Guards against small hosts that are all listed at the same time and at others not
/// at all.
#[test]
fn callers_are_spread_at_every_moment() {
    for (mixture, fleet) in mixtures().iter().enumerate() {
        let deviation = largest_deviation(fleet, 1);
        assert!(deviation < 0.4, "mixture {mixture}: {deviation}");
    }
}

/// Guards against callers that have nowhere to turn to when a few hosts fail, and
/// against answers that are too large.
#[test]
fn an_answer_lists_8_to_64_hosts_of_different_capacity() {
    let one_large = hosts_of((0..20).map(|number| Some(if number == 0 { 4_000 } else { 90 })));
    let many = hosts_of((0..150).map(|number| Some(if number % 4 == 0 { 90 } else { 300 })));
    let few = hosts_of([Some(300), Some(90), Some(90)]);
    for (fleet, range) in [(one_large, 8..=8), (many, 64..=64), (few, 3..=3)] {
        for slot in (0..20).step_by(7) {
            for answer in answers(&fleet, NOW_MS + slot * 6_000) {
                assert!(range.contains(&answer.len()), "{}", answer.len());
            }
        }
    }
}

/// Hosts of one size, and such that do not name theirs, are listed as before.
#[test]
fn hosts_of_one_capacity_are_listed_as_without_capacities() {
    for count in [5, 22, 150] {
        let without = answers(&hosts_of(vec![None; count]), NOW_MS);
        assert_eq!(answers(&hosts_of(vec![Some(90); count]), NOW_MS), without);
    }
    let unknown = hosts_of((0..22).map(|number| (number % 2 == 0).then_some(300)));
    assert!(answers(&unknown, NOW_MS).iter().all(|answer| answer.len() == 22));
}

/// Guards against callers that reconnect at each answer: an answer stays the same for
/// a slot, and most of it for longer, also when a host joins.
#[test]
fn an_answer_of_hosts_of_different_capacity_changes_slowly() {
    let slot_start_ms = NOW_MS / 6_000 * 6_000;
    let changes = |before: &[Vec<String>], after: &[Vec<String>]| {
        let gone = |(before, after): (&Vec<String>, &Vec<String>)| {
            before.iter().filter(|address| !after.contains(address)).count()
        };
        before.iter().zip(after).map(gone).max().unwrap()
    };
    let [fleet, ..] = mixtures();
    let first = answers(&fleet, slot_start_ms);
    assert_eq!(answers(&fleet, slot_start_ms + 5_999), first);
    assert!(changes(&first, &answers(&fleet, slot_start_ms + 6_000)) <= 2);
    let mut grown = fleet.clone();
    grown.push(FleetHost {
        cpu_millicores: Some(90),
        ..host("10.1.0.99:7260", "north", FleetHostState::Ready)
    });
    assert!(changes(&first, &answers(&grown, slot_start_ms)) <= 2);
}
