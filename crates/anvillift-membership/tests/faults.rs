//! Hosts that become silent, restart, freeze or are partitioned.

mod support;

use std::collections::BTreeMap;

use anvillift_membership::directory;
use anvillift_schema::membership::{HostState, MembershipMessage};
use anvillift_schema::name::Name;
use proptest::prelude::*;
use rstest::rstest;
use support::{Faults, Network, STEP_MS, Size, host_name, upstream_name};

/// Time within which a silent host disappears from every view.
const SILENCE_LIMIT_MS: u64 = 3_000;
/// Time within which a silent host disappears under loss, cut links and frozen hosts at
/// once. It is longer than [`SILENCE_LIMIT_MS`], since the last digest of a data centre may
/// list a host that died just before, and stays valid for a while.
const SILENCE_LIMIT_UNDER_FAULTS_MS: u64 = 5_000;
/// Time within which every directory stops listing a draining host.
const DRAIN_LIMIT_MS: u64 = 300;

fn small_network(faults: Faults, seed: u64) -> Network {
    let size = Size { hosts: 8, data_centres: 3, regions: 3, upstreams: 12, services: 2 };
    let mut network = Network::new(size, faults, seed);
    network.run(5_000);
    network
}

fn wide_area_faults() -> Faults {
    Faults { local_delay_ms: 2, remote_delay_ms: 40, jitter_ms: 10, ..Faults::default() }
}

fn is_listed(network: &Network, seen_by: usize, host: usize) -> bool {
    let identity = &network.hosts[&host_name(seen_by)].settings.identity;
    let service = Name::from("service-0");
    let answer = directory::directory(&network.view(seen_by), identity, &service);
    answer.hosts.iter().any(|entry| entry.host == host_name(host))
}

#[rstest]
#[case::small_data_centres(8, 3, 1)]
#[case::large_data_centres(84, 6, 2)]
fn a_silent_host_disappears_from_every_view_in_time(
    #[case] hosts: usize,
    #[case] data_centres: usize,
    #[case] seed: u64,
) {
    let size = Size { hosts, data_centres, regions: 3, upstreams: 12, services: 2 };
    let mut network = Network::new(size, wide_area_faults(), seed);
    network.run(5_000);
    assert!((1..hosts).all(|seen_by| network.is_alive(seen_by, 0)));
    network.host(0).frozen = true;
    network.run(SILENCE_LIMIT_MS);
    for seen_by in 1..hosts {
        assert!(
            !network.is_alive(seen_by, 0),
            "host {seen_by} still reports the silent host as alive"
        );
    }
    network.host(0).frozen = false;
    network.run(5_000);
    assert!((1..hosts).all(|seen_by| network.is_alive(seen_by, 0)));
}

#[test]
fn two_delegates_silent_at_once_disappear_in_time() {
    let size = Size { hosts: 12, data_centres: 3, regions: 3, upstreams: 6, services: 2 };
    let mut network = Network::new(size, wide_area_faults(), 3);
    network.run(5_000);
    network.host(0).frozen = true;
    network.host(3).frozen = true;
    network.run(SILENCE_LIMIT_MS);
    for seen_by in [1, 2, 4, 5, 6, 7, 8, 9, 10, 11] {
        assert!(
            !network.is_alive(seen_by, 0) && !network.is_alive(seen_by, 3),
            "host {seen_by} still reports a silent host as alive"
        );
        assert!(
            network.is_alive(seen_by, 6) && network.is_alive(seen_by, 9),
            "host {seen_by} reports a running host as silent"
        );
    }
}

#[test]
fn a_partitioned_data_centre_disappears_in_time_and_keeps_its_own_view() {
    let mut network = small_network(wide_area_faults(), 4);
    for outside in [1, 2, 4, 5, 7] {
        for inside in [0, 3, 6] {
            network.cut_link(inside, outside);
        }
    }
    network.run(SILENCE_LIMIT_MS);
    assert!(!network.is_alive(1, 0) && !network.is_alive(0, 1));
    assert!(network.is_alive(0, 3) && network.is_alive(3, 6));
    assert!(!network.view(0).upstreams.is_empty());
    network.cut_links.clear();
    network.run(3_000);
    assert!(network.is_alive(1, 0) && network.is_alive(0, 1));
}

#[test]
fn a_host_isolated_from_its_data_centre_does_not_hide_the_others() {
    let size = Size { hosts: 12, data_centres: 3, regions: 3, upstreams: 6, services: 2 };
    let mut network = Network::new(size, wide_area_faults(), 11);
    network.run(5_000);
    for other in [3, 6, 9] {
        network.cut_link(0, other);
    }
    for _ in 0..100 {
        network.run(STEP_MS);
        for seen_by in [1, 2, 4, 5, 7, 8, 10, 11] {
            assert!(
                [3, 6, 9].iter().all(|host| network.is_alive(seen_by, *host)),
                "host {seen_by} reports a running host as silent"
            );
        }
    }
}

#[test]
fn a_draining_host_leaves_every_directory_at_once() {
    let mut network = small_network(wide_area_faults(), 5);
    assert!((1..8).all(|seen_by| is_listed(&network, seen_by, 0)));
    network.host(0).membership.set_state(HostState::Draining);
    network.run(DRAIN_LIMIT_MS);
    for seen_by in 0..8 {
        assert!(!is_listed(&network, seen_by, 0), "still listed by {seen_by}");
    }
    assert!(network.is_alive(3, 0));
}

#[test]
fn a_restarted_host_replaces_its_old_incarnation() {
    let mut network = small_network(wide_area_faults(), 6);
    network.restart(0);
    network.run(1_000);
    let incarnation = network.host(0).settings.incarnation;
    for seen_by in 1..8 {
        let view = network.view(seen_by);
        assert_eq!(
            view.hosts[&host_name(0)].record.incarnation,
            incarnation,
            "view of host {seen_by}"
        );
    }
}

/// A heartbeat with a record, sent at `sent_ms` by the clock of the sender.
fn heartbeat(network: &Network, host: usize, incarnation: u64, sent_ms: u64) -> MembershipMessage {
    let mut record = network.view(host).hosts[&host_name(host)].record.clone();
    record.incarnation = incarnation;
    let message = serde_json::json!({ "beat": {
        "head": [incarnation, sent_ms, 1, 0, 0],
        "record": record,
    }});
    serde_json::from_value(message).expect("a heartbeat")
}

#[test]
fn only_a_newer_incarnation_replaces_a_record_whatever_its_clock() {
    let mut network = small_network(wide_area_faults(), 12);
    let (name, now_ms) = (host_name(3), network.now_ms);
    let old = network.host(3).settings.incarnation;
    let newer = heartbeat(&network, 3, old + 1, 7);
    network.host(0).membership.receive(now_ms, &name, newer);
    let seen = |network: &Network| network.view(0).hosts[&name].record.incarnation;
    assert_eq!(seen(&network), old + 1);
    let older = heartbeat(&network, 3, old, now_ms + 50);
    network.host(0).membership.receive(now_ms + 50, &name, older);
    assert_eq!(seen(&network), old + 1);
}

#[test]
fn delayed_messages_of_frozen_hosts_do_not_revive_a_dead_host() {
    let mut network = small_network(wide_area_faults(), 8);
    for delayed in [1, 4, 7] {
        network.host(delayed).frozen = true;
    }
    network.run(400);
    network.host(0).running = false;
    network.run(4_000);
    assert!((2..8).filter(|host| host % 3 == 2).all(|seen_by| !network.is_alive(seen_by, 0)));
    for delayed in [1, 4, 7] {
        network.host(delayed).frozen = false;
    }
    for _ in 0..60 {
        network.run(STEP_MS);
        for seen_by in 1..8 {
            assert!(!network.is_alive(seen_by, 0), "host {seen_by} reports the dead host as alive");
        }
    }
}

#[test]
fn the_directory_lists_the_own_region_first() {
    let size = Size { hosts: 12, data_centres: 6, regions: 3, upstreams: 0, services: 1 };
    let mut network = Network::new(size, wide_area_faults(), 9);
    network.add_upstream(0, 1, 0);
    network.run(5_000);
    let identity = &network.hosts[&host_name(0)].settings.identity;
    let answer = directory::directory(&network.view(0), identity, &Name::from("service-0"));
    let regions: Vec<&Name> = answer.hosts.iter().map(|host| &host.region).collect();
    assert_eq!(regions.len(), 12);
    assert!(regions[..4].iter().all(|region| **region == identity.region));
    // The data centre that has an upstream of the service comes next.
    assert!(answer.hosts[4..6].iter().all(|host| host.data_centre == Name::from("centre-01")));
    assert!(answer.hosts.iter().all(|host| host.weight > 0) && answer.valid_ms > 0);
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    Cut(usize, usize),
    Restart(usize),
    Leave(usize),
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        (0..6usize).prop_map(Fault::Kill),
        (0..6usize).prop_map(Fault::Freeze),
        (0..6usize, 0..6usize).prop_map(|(left, right)| Fault::Cut(left, right)),
        (0..6usize).prop_map(Fault::Restart),
        (0..6usize).prop_map(Fault::Leave),
    ];
    prop::collection::vec(fault, 1..8)
}

fn apply(network: &mut Network, fault: &Fault) {
    match fault {
        Fault::Kill(host) => network.host(*host).running = false,
        Fault::Freeze(host) => {
            let host = network.host(*host);
            host.frozen = !host.frozen;
        }
        Fault::Cut(left, right) => network.cut_link(*left, *right),
        Fault::Restart(host) => network.restart(*host),
        Fault::Leave(number) => {
            let upstream = network.upstreams.get_mut(&upstream_name(*number)).expect("exists");
            upstream.announcement.leaving = true;
            network.announce_now(&upstream_name(*number));
            let upstream = network.upstreams.get_mut(&upstream_name(*number)).expect("exists");
            upstream.running = false;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under loss, reordering and duplication, a dead host is never reported alive again;
    /// once the faults end, all views agree.
    #[test]
    fn views_are_correct_and_converge(seed in any::<u64>(), faults in faults()) {
        let size = Size { hosts: 6, data_centres: 2, regions: 2, upstreams: 6, services: 1 };
        let link_faults = Faults {
            lost_permille: 20, duplicated_permille: 50,
            local_delay_ms: 2, remote_delay_ms: 40, jitter_ms: 300,
        };
        let mut network = Network::new(size, link_faults, seed);
        network.run(3_000);
        let mut left = Vec::new();
        let mut dead_since = BTreeMap::new();
        for fault in &faults {
            apply(&mut network, fault);
            match fault {
                Fault::Kill(host) => { dead_since.entry(*host).or_insert(network.now_ms); }
                Fault::Restart(host) => { dead_since.remove(host); }
                Fault::Leave(upstream) => left.push(upstream_name(*upstream)),
                _ => {}
            }
            for _ in 0..20 {
                network.run(STEP_MS);
                check_views(&network, &left, &dead_since)?;
            }
        }
        network.cut_links.clear();
        network.faults = Faults { local_delay_ms: 2, remote_delay_ms: 40, ..Faults::default() };
        for host in network.hosts.values_mut() {
            host.frozen = false;
        }
        network.run(6_000);
        check_views(&network, &left, &dead_since)?;
        for seen_by in (0..6).filter(|host| !dead_since.contains_key(host)) {
            for host in 0..6 {
                prop_assert_eq!(network.is_alive(seen_by, host), !dead_since.contains_key(&host));
            }
        }
    }
}

fn check_views(
    network: &Network,
    left: &[Name],
    dead_since: &BTreeMap<usize, u64>,
) -> Result<(), TestCaseError> {
    let running =
        |host: &usize| !dead_since.contains_key(host) && !network.hosts[&host_name(*host)].frozen;
    for seen_by in (0..6).filter(running) {
        let view = network.view(seen_by);
        for (host, since_ms) in dead_since {
            let silent = network.now_ms - since_ms > SILENCE_LIMIT_UNDER_FAULTS_MS;
            let alive = view.hosts.get(&host_name(*host)).is_some_and(|host| host.alive);
            prop_assert!(!(silent && alive), "{seen_by} reports dead host {host} as alive");
        }
        for (name, upstream) in &view.upstreams {
            prop_assert!(upstream.last_seen_age_ms <= 3_000);
            let announced = &network.upstreams[name];
            let has_left = left.contains(name) && announced.host == host_name(seen_by);
            prop_assert!(!has_left, "{name} left and is still available at {seen_by}");
        }
    }
    Ok(())
}
