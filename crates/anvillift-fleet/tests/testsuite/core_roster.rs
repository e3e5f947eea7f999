//! Tests of the choice of voter changes.

use anvillift_fleet::core_roster::{RosterChange, RosterView};
use anvillift_fleet::{HostTable, HostTableSettings, core_roster};
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;
use rstest::rstest;

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

fn next(hosts: &HostTable, waited_ms: u64, voters: &VoterSet) -> Option<RosterChange> {
    core_roster::next_change(
        &RosterView { own_name: "a", hosts, now_ms: NOW_MS, waited_ms },
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
        RosterView { own_name: "a", hosts: &hosts, now_ms: NOW_MS + 9_000, waited_ms: 60_000 };
    assert_eq!(core_roster::next_change(&view, &set), None);
}

fn stop(hosts: &mut HostTable, name: &str) {
    let stopping = FleetHost {
        state: FleetHostState::Leaving,
        revision: 2,
        ..core(name, &format!("disk-{name}"))
    };
    hosts.merge(NOW_MS, stopping, true);
}

/// Guards against a host that was replaced as planned and counts as a voter until it has been
/// silent for seconds: the loss of another disk in that time took the majority for good.
#[rstest]
#[case::successor_votes(&["a", "b", "c", "d"], &["b"], Some("b"))]
#[case::two_of_six_stop(&["a", "b", "c", "d", "e", "f"], &["b", "c"], Some("b"))]
#[case::restart_of_one_of_three(&["a", "b", "c"], &["b"], None)]
#[case::restart_of_one_of_five(&["a", "b", "c", "d", "e"], &["b"], None)]
#[case::two_voters(&["a", "b"], &["b"], None)]
#[case::the_leader_stops(&["a", "b", "c", "d"], &["a"], None)]
fn a_voter_that_stops_is_removed_where_its_loss_would_count(
    #[case] names: &[&str],
    #[case] stopping: &[&str],
    #[case] removed: Option<&str>,
) {
    let mut hosts = table_of(names);
    stopping.iter().for_each(|name| stop(&mut hosts, name));
    let change = removed.map(|name| RosterChange::Remove(voter(name, &format!("disk-{name}"))));
    assert_eq!(next(&hosts, 60_000, &voters(names)), change);
}

/// Guards against a learner that can't catch up and delays the removal of a voter that stops.
#[test]
fn a_voter_that_stops_is_removed_while_a_learner_catches_up() {
    let mut hosts = table_of(&["a", "b", "c", "d", "e"]);
    stop(&mut hosts, "b");
    let mut set = voters(&["a", "b", "c", "d"]);
    set.learners.push(voter("e", "disk-e"));
    assert_eq!(next(&hosts, 60_000, &set), Some(RosterChange::Remove(voter("b", "disk-b"))));
}

/// Guards against a lost voter that other hosts keep alive: each reported it for 2.5 s after
/// its last message.
#[test]
fn reports_of_other_hosts_do_not_lengthen_the_life_of_a_voter() {
    let mut hosts = table_of(&["a", "b", "c", "d"]);
    let now_ms = NOW_MS + 3_000;
    for name in ["b", "d"] {
        hosts.record_message(now_ms, name);
    }
    hosts.merge(now_ms, core("c", "disk-c"), false);
    let view = RosterView { own_name: "a", hosts: &hosts, now_ms, waited_ms: 60_000 };
    let change = core_roster::next_change(&view, &voters(&["a", "b", "c", "d"]));
    assert_eq!(change, Some(RosterChange::Remove(voter("c", "disk-c"))));
}

/// Guards against a host that is removed and added again without end, because the leader
/// hears of it only from others.
#[test]
fn a_core_without_a_link_is_not_added() {
    let mut hosts = table_of(&["a", "b", "c"]);
    hosts.merge(NOW_MS, core("d", "disk-d"), false);
    assert_eq!(next(&hosts, 60_000, &voters(&["a", "b", "c"])), None);
}

/// Guards against a planned stop that ends before the group counts without its host, and
/// against one that waits in vain.
#[rstest]
#[case::successor_votes(&["a", "b", "c", "d"], &[], &[], true)]
#[case::successor_learns(&["a", "b", "c"], &["d"], &[], true)]
#[case::successor_has_just_started(&["a", "b", "c"], &[], &["d"], true)]
#[case::restart_of_one_of_three(&["a", "b", "c"], &[], &[], false)]
#[case::restart_of_one_of_five(&["a", "b", "c", "d", "e"], &[], &[], false)]
#[case::is_no_voter(&["b", "c", "d", "e"], &[], &[], false)]
fn a_stop_waits_for_the_removal_that_is_expected(
    #[case] members: &[&str],
    #[case] learners: &[&str],
    #[case] joining: &[&str],
    #[case] is_expected: bool,
) {
    let names = [members, learners, joining].concat();
    let hosts = table_of(&names);
    let mut set = voters(members);
    set.learners = learners.iter().map(|name| voter(name, &format!("disk-{name}"))).collect();
    let view = RosterView { own_name: "a", hosts: &hosts, now_ms: NOW_MS, waited_ms: 60_000 };
    assert_eq!(core_roster::is_removal_expected(&view, &set), is_expected);
}

/// Guards against a stop of all hosts at once that waits for a leader which there isn't.
#[test]
fn a_stop_does_not_wait_while_all_voters_stop() {
    let mut hosts = table_of(&["a", "b", "c", "d"]);
    ["b", "c", "d"].iter().for_each(|name| stop(&mut hosts, name));
    let view = RosterView { own_name: "a", hosts: &hosts, now_ms: NOW_MS, waited_ms: 60_000 };
    assert!(!core_roster::is_removal_expected(&view, &voters(&["a", "b", "c", "d"])));
}
