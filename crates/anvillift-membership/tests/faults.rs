//! Hosts that fall silent, restart, freeze or are cut off.

mod support;

use std::collections::BTreeMap;

use anvillift_membership::directory;
use anvillift_schema::membership::{HostState, MembershipMessage};
use anvillift_schema::name::Name;
use proptest::prelude::*;
use rstest::rstest;
use support::{Faults, Network, STEP_MS, Size, host_name, upstream_name};

/// A silent host leaves every view within this time.
const SILENCE_LIMIT_MS: u64 = 3_000;
/// Under loss, cuts and freezes at once, the last digest of a data centre may outlive a
/// host that died just before by its own validity.
const SILENCE_LIMIT_UNDER_CUTS_MS: u64 = 5_000;
/// A planned stop is known everywhere within this time.
const DRAIN_LIMIT_MS: u64 = 300;

fn today(faults: Faults, seed: u64) -> Network {
    let size = Size { hosts: 8, centres: 3, regions: 3, upstreams: 12, services: 2 };
    let mut network = Network::new(size, faults, seed);
    network.run(5_000);
    network
}

fn wide_area() -> Faults {
    Faults { near_delay_ms: 2, far_delay_ms: 40, jitter_ms: 10, ..Faults::default() }
}

fn listed(network: &Network, seen_by: usize, host: usize) -> bool {
    let identity = &network.hosts[&host_name(seen_by)].settings.identity;
    let service = Name::from("service-0");
    let answer = directory::directory(&network.view(seen_by), identity, &service);
    answer.hosts.iter().any(|listed| listed.host == host_name(host))
}

#[rstest]
#[case::small(8, 3, 1)]
#[case::large_data_centres(84, 6, 2)]
fn a_silent_host_is_gone_from_every_view_in_time(
    #[case] hosts: usize,
    #[case] centres: usize,
    #[case] seed: u64,
) {
    let size = Size { hosts, centres, regions: 3, upstreams: 12, services: 2 };
    let mut network = Network::new(size, wide_area(), seed);
    network.run(5_000);
    assert!((1..hosts).all(|seen_by| network.alive(seen_by, 0)));
    network.host(0).frozen = true;
    network.run(SILENCE_LIMIT_MS);
    for seen_by in 1..hosts {
        assert!(!network.alive(seen_by, 0), "host {seen_by} still sees the silent host");
    }
    network.host(0).frozen = false;
    network.run(5_000);
    assert!((1..hosts).all(|seen_by| network.alive(seen_by, 0)));
}

#[test]
fn two_delegates_silent_together_are_gone_in_time() {
    let size = Size { hosts: 12, centres: 3, regions: 3, upstreams: 6, services: 2 };
    let mut network = Network::new(size, wide_area(), 3);
    network.run(5_000);
    network.host(0).frozen = true;
    network.host(3).frozen = true;
    network.run(SILENCE_LIMIT_MS);
    for seen_by in [1, 2, 4, 5, 6, 7, 8, 9, 10, 11] {
        assert!(!network.alive(seen_by, 0) && !network.alive(seen_by, 3), "seen by {seen_by}");
        assert!(network.alive(seen_by, 6) && network.alive(seen_by, 9), "seen by {seen_by}");
    }
}

#[test]
fn a_data_centre_cut_off_is_gone_in_time_and_serves_itself() {
    let mut network = today(wide_area(), 4);
    for outside in [1, 2, 4, 5, 7] {
        for inside in [0, 3, 6] {
            network.cut_both_ways(inside, outside);
        }
    }
    network.run(SILENCE_LIMIT_MS);
    assert!(!network.alive(1, 0) && !network.alive(0, 1));
    assert!(network.alive(0, 3) && network.alive(3, 6));
    assert!(!network.view(0).upstreams.is_empty());
    network.cut.clear();
    network.run(3_000);
    assert!(network.alive(1, 0) && network.alive(0, 1));
}

#[test]
fn a_host_cut_from_its_own_data_centre_does_not_hide_the_others() {
    let size = Size { hosts: 12, centres: 3, regions: 3, upstreams: 6, services: 2 };
    let mut network = Network::new(size, wide_area(), 11);
    network.run(5_000);
    for other in [3, 6, 9] {
        network.cut_both_ways(0, other);
    }
    for _ in 0..100 {
        network.run(STEP_MS);
        for seen_by in [1, 2, 4, 5, 7, 8, 10, 11] {
            assert!([3, 6, 9].iter().all(|host| network.alive(seen_by, *host)), "by {seen_by}");
        }
    }
}

#[test]
fn a_draining_host_leaves_every_directory_at_once() {
    let mut network = today(wide_area(), 5);
    assert!((1..8).all(|seen_by| listed(&network, seen_by, 0)));
    network.host(0).members.set_state(HostState::Draining);
    network.run(DRAIN_LIMIT_MS);
    for seen_by in 0..8 {
        assert!(!listed(&network, seen_by, 0), "still listed by {seen_by}");
    }
    assert!(network.alive(3, 0));
}

#[test]
fn a_restarted_host_replaces_its_old_incarnation() {
    let mut network = today(wide_area(), 6);
    network.restart(0);
    network.run(1_000);
    let incarnation = network.host(0).settings.incarnation;
    for seen_by in 1..8 {
        let view = network.view(seen_by);
        assert_eq!(view.hosts[&host_name(0)].record.incarnation, incarnation, "{seen_by}");
    }
}

/// A heartbeat with a record, sent at `sent_ms` of the sender's own clock.
fn beat(network: &Network, host: usize, incarnation: u64, sent_ms: u64) -> MembershipMessage {
    let mut record = network.view(host).hosts[&host_name(host)].record.clone();
    record.incarnation = incarnation;
    let message = serde_json::json!({ "beat": {
        "head": [incarnation, sent_ms, 1, 0, 0],
        "record": record,
    }});
    serde_json::from_value(message).expect("a heartbeat")
}

#[test]
fn a_newer_incarnation_counts_whatever_its_clock_and_an_older_one_never() {
    let mut network = today(wide_area(), 12);
    let (name, now_ms) = (host_name(3), network.now_ms);
    let old = network.host(3).settings.incarnation;
    let newer = beat(&network, 3, old + 1, 7);
    network.host(0).members.receive(now_ms, &name, newer);
    let seen = |network: &Network| network.view(0).hosts[&name].record.incarnation;
    assert_eq!(seen(&network), old + 1);
    let older = beat(&network, 3, old, now_ms + 50);
    network.host(0).members.receive(now_ms + 50, &name, older);
    assert_eq!(seen(&network), old + 1);
}

#[test]
fn messages_of_a_frozen_relay_do_not_revive_a_dead_host() {
    let mut network = today(wide_area(), 8);
    for relay in [1, 4, 7] {
        network.host(relay).frozen = true;
    }
    network.run(400);
    network.host(0).running = false;
    network.run(4_000);
    assert!((2..8).filter(|host| host % 3 == 2).all(|seen_by| !network.alive(seen_by, 0)));
    for relay in [1, 4, 7] {
        network.host(relay).frozen = false;
    }
    for _ in 0..60 {
        network.run(STEP_MS);
        for seen_by in 1..8 {
            assert!(!network.alive(seen_by, 0), "revived at host {seen_by}");
        }
    }
}

#[test]
fn the_directory_puts_the_own_region_first() {
    let size = Size { hosts: 12, centres: 6, regions: 3, upstreams: 0, services: 1 };
    let mut network = Network::new(size, wide_area(), 9);
    network.add_upstream(0, 1, 0);
    network.run(5_000);
    let identity = &network.hosts[&host_name(0)].settings.identity;
    let answer = directory::directory(&network.view(0), identity, &Name::from("service-0"));
    let regions: Vec<&Name> = answer.hosts.iter().map(|host| &host.region).collect();
    assert_eq!(regions.len(), 12);
    assert!(regions[..4].iter().all(|region| **region == identity.region));
    // Then the data centre that has an upstream of the service.
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
        Fault::Cut(left, right) => network.cut_both_ways(*left, *right),
        Fault::Restart(host) => network.restart(*host),
        Fault::Leave(number) => {
            let known = network.upstreams.get_mut(&upstream_name(*number)).expect("exists");
            known.announcement.leaving = true;
            network.announce_now(&upstream_name(*number));
            let known = network.upstreams.get_mut(&upstream_name(*number)).expect("exists");
            known.running = false;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under loss, reordering and duplication, the dead stay dead, and once the
    /// faults end everyone sees the same.
    #[test]
    fn views_are_true_and_converge(seed in any::<u64>(), faults in faults()) {
        let size = Size { hosts: 6, centres: 2, regions: 2, upstreams: 6, services: 1 };
        let weather = Faults {
            lost_permille: 20, doubled_permille: 50, near_delay_ms: 2, far_delay_ms: 40, jitter_ms: 300,
        };
        let mut network = Network::new(size, weather, seed);
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
                check(&network, &left, &dead_since)?;
            }
        }
        network.cut.clear();
        network.faults = Faults { near_delay_ms: 2, far_delay_ms: 40, ..Faults::default() };
        for host in network.hosts.values_mut() {
            host.frozen = false;
        }
        network.run(6_000);
        check(&network, &left, &dead_since)?;
        for seen_by in (0..6).filter(|host| !dead_since.contains_key(host)) {
            for host in 0..6 {
                prop_assert_eq!(network.alive(seen_by, host), !dead_since.contains_key(&host));
            }
        }
    }
}

fn check(
    network: &Network,
    left: &[Name],
    dead_since: &BTreeMap<usize, u64>,
) -> Result<(), TestCaseError> {
    let running =
        |host: &usize| !dead_since.contains_key(host) && !network.hosts[&host_name(*host)].frozen;
    for seen_by in (0..6).filter(running) {
        let view = network.view(seen_by);
        for (host, since_ms) in dead_since {
            let silent = network.now_ms - since_ms > SILENCE_LIMIT_UNDER_CUTS_MS;
            let alive = view.hosts.get(&host_name(*host)).is_some_and(|host| host.alive);
            prop_assert!(!(silent && alive), "{seen_by} sees dead {host}");
        }
        for (name, upstream) in &view.upstreams {
            prop_assert!(upstream.heard_age_ms <= 3_000);
            let known = &network.upstreams[name];
            let stopped = left.contains(name) && known.host == host_name(seen_by);
            prop_assert!(!stopped, "{name} left and is still used by {seen_by}");
        }
    }
    Ok(())
}
