//! Which change of the voters the leader makes next.

use anvillift_fleet::core_roster::{RosterChange, Sight};
use anvillift_fleet::{HostTable, HostTableSettings, core_roster};
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

const NOW_MS: u64 = 1_000_000;

fn core(name: &str, disk: &str) -> FleetHost {
    FleetHost {
        name: Name::from(name),
        role: FleetHostRole::Core,
        state: FleetHostState::Ready,
        data_centre: Name::from("north-a"),
        region: Name::from("north"),
        boot: 1,
        revision: 1,
        caller_address: String::new(),
        operator_address: name.to_owned(),
        forward_address: String::new(),
        storage_id: Name::from(disk),
    }
}

fn voter(name: &str, disk: &str) -> Voter {
    Voter { host: Name::from(name), storage_id: Name::from(disk) }
}

fn voters(names: &[&str]) -> VoterSet {
    let voters = names.iter().map(|name| voter(name, &format!("disk-{name}"))).collect();
    VoterSet { voters, learners: Vec::new() }
}

fn heard(names: &[&str]) -> HostTable {
    let mut hosts = HostTable::new(HostTableSettings::default());
    for name in names {
        hosts.merge(NOW_MS, core(name, &format!("disk-{name}")), true);
    }
    hosts
}

fn next(hosts: &HostTable, led_ms: u64, voters: &VoterSet) -> Option<RosterChange> {
    core_roster::next_change(&Sight { me: "a", hosts, now_ms: NOW_MS, led_ms }, voters)
}

#[test]
fn nothing_changes_while_all_are_heard() {
    assert_eq!(next(&heard(&["a", "b", "c"]), 60_000, &voters(&["a", "b", "c"])), None);
}

#[test]
fn a_core_that_is_heard_joins() {
    let change = next(&heard(&["a", "b", "c", "d"]), 60_000, &voters(&["a", "b", "c"]));
    assert_eq!(change, Some(RosterChange::Add(voter("d", "disk-d"))));
}

#[test]
fn a_core_with_another_disk_joins_as_another_replica() {
    let mut hosts = heard(&["a", "b"]);
    hosts.merge(NOW_MS, core("c", "new"), true);
    let change = next(&hosts, 60_000, &voters(&["a", "b", "c"]));
    assert_eq!(change, Some(RosterChange::Add(voter("c", "new"))));
}

/// The pattern: a core was replaced for good, and the leader changed meanwhile;
/// the new leader has never heard the old core, and counted it for ever.
#[test]
fn a_voter_that_was_never_heard_is_removed_in_time() {
    let (hosts, voters) = (heard(&["a", "b", "d"]), voters(&["a", "b", "c", "d"]));
    assert_eq!(next(&hosts, 1_000, &voters), None, "it may yet be heard");
    assert_eq!(next(&hosts, 5_000, &voters), Some(RosterChange::Remove(voter("c", "disk-c"))));
}

/// With three voters a silent one stays: without it, one more loss would end control.
#[test]
fn the_last_three_voters_stay() {
    assert_eq!(next(&heard(&["a", "b"]), 60_000, &voters(&["a", "b", "c"])), None);
}

/// Seen on a day of our own (deploy/days/disks, both sites): with four voters a
/// leader, which hears everyone but itself, took itself for gone and removed itself,
/// again and again, until no majority was left.
#[test]
fn a_leader_does_not_remove_itself() {
    let set = voters(&["a", "b", "c", "d"]);
    assert_eq!(next(&heard(&["b", "c", "d"]), 60_000, &set), None);
    let mut hosts = heard(&["a"]);
    for name in ["b", "c", "d"] {
        hosts.merge(NOW_MS + 9_000, core(name, &format!("disk-{name}")), true);
    }
    let sight = Sight { me: "a", hosts: &hosts, now_ms: NOW_MS + 9_000, led_ms: 60_000 };
    assert_eq!(core_roster::next_change(&sight, &set), None);
}
