//! Tests of the choice of voter changes.

use anvillift_fleet::core_roster::{LeaderView, RosterChange};
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
        remembers_streams: true,
        shares_quarantine: true,
        cpu_millicores: None,
        shares_quotas: true,
        shares_trials: true,
        takes_leaves: true,
    }
}

fn voter(name: &str, disk: &str) -> Voter {
    Voter { host: Name::from(name), storage_id: Name::from(disk) }
}

fn voters(names: &[&str]) -> VoterSet {
    let voters = names.iter().map(|name| voter(name, &format!("disk-{name}"))).collect();
    VoterSet { voters, learners: Vec::new() }
}

fn table_of(names: &[&str]) -> HostTable {
    let mut hosts = HostTable::new(HostTableSettings::default());
    for name in names {
        hosts.merge(NOW_MS, core(name, &format!("disk-{name}")), true);
    }
    hosts
}

fn next(hosts: &HostTable, leader_for_ms: u64, voters: &VoterSet) -> Option<RosterChange> {
    core_roster::next_change(
        &LeaderView { own_name: "a", hosts, now_ms: NOW_MS, leader_for_ms },
        voters,
    )
}

#[test]
fn nothing_changes_while_all_voters_are_alive() {
    assert_eq!(next(&table_of(&["a", "b", "c"]), 60_000, &voters(&["a", "b", "c"])), None);
}

#[test]
fn a_live_core_is_added() {
    let change = next(&table_of(&["a", "b", "c", "d"]), 60_000, &voters(&["a", "b", "c"]));
    assert_eq!(change, Some(RosterChange::Add(voter("d", "disk-d"))));
}

#[test]
fn a_core_with_other_storage_is_added_as_another_replica() {
    let mut hosts = table_of(&["a", "b"]);
    hosts.merge(NOW_MS, core("c", "new"), true);
    let change = next(&hosts, 60_000, &voters(&["a", "b", "c"]));
    assert_eq!(change, Some(RosterChange::Add(voter("c", "new"))));
}

/// Guards against a dead voter that is never removed: a core was replaced for good
/// while the leader changed. The new leader had never received a message from the
/// old core and kept counting it as a voter.
#[test]
fn a_voter_that_never_connected_is_removed_in_time() {
    let (hosts, voters) = (table_of(&["a", "b", "d"]), voters(&["a", "b", "c", "d"]));
    assert_eq!(next(&hosts, 1_000, &voters), None, "it may still connect");
    assert_eq!(next(&hosts, 5_000, &voters), Some(RosterChange::Remove(voter("c", "disk-c"))));
}

/// With three voters a silent one is kept: with two, the loss of one more would
/// leave no majority.
#[test]
fn the_last_three_voters_are_kept() {
    assert_eq!(next(&table_of(&["a", "b"]), 60_000, &voters(&["a", "b", "c"])), None);
}

/// Guards against a leader that removes itself: its host table has no messages from
/// itself, so with four voters it counted as gone and removed itself. This repeated
/// until no majority was left (seen at both sites of deploy/days/disks).
#[test]
fn a_leader_does_not_remove_itself() {
    let set = voters(&["a", "b", "c", "d"]);
    assert_eq!(next(&table_of(&["b", "c", "d"]), 60_000, &set), None);
    let mut hosts = table_of(&["a"]);
    for name in ["b", "c", "d"] {
        hosts.merge(NOW_MS + 9_000, core(name, &format!("disk-{name}")), true);
    }
    let view =
        LeaderView { own_name: "a", hosts: &hosts, now_ms: NOW_MS + 9_000, leader_for_ms: 60_000 };
    assert_eq!(core_roster::next_change(&view, &set), None);
}
