//! Upstreams: expiry, leave, and the updates that hosts exchange about them.

mod support;

use anvillift_membership::coarse;
use anvillift_schema::upstream::CacheEvent;
use proptest::prelude::*;
use support::{Faults, Network, STEP_MS, Size, host_name, upstream_name};

/// Silence after which an upstream gets no new work: the expiry at the host to which it
/// announces itself, and one step of the network until the other hosts apply it.
const EXPIRY_MS: u64 = 3_000 + STEP_MS;

fn one_data_centre(seed: u64) -> Network {
    let size = Size { hosts: 4, data_centres: 1, regions: 1, upstreams: 4, services: 1 };
    let faults = Faults { local_delay_ms: 2, ..Faults::default() };
    let mut network = Network::new(size, faults, seed);
    network.run(3_000);
    network
}

fn is_available(network: &Network, host: usize, upstream: usize) -> bool {
    network.view(host).upstreams.contains_key(&upstream_name(upstream))
}

#[test]
fn every_host_receives_every_upstream_with_its_load() {
    let mut network = one_data_centre(1);
    network.run(1_000);
    for host in 0..4 {
        let view = network.view(host);
        assert_eq!(view.upstreams.len(), 4);
        assert!(view.upstreams.values().all(|upstream| upstream.announcement.load.sampled_ms > 0));
    }
}

#[test]
fn a_silent_upstream_expires_despite_repeated_reports() {
    let mut network = one_data_centre(2);
    network.upstreams.get_mut(&upstream_name(0)).expect("exists").running = false;
    network.run(EXPIRY_MS + STEP_MS);
    assert!((0..4).all(|host| !is_available(&network, host, 0)));
    assert!((0..4).all(|host| is_available(&network, host, 1)));
}

#[test]
fn upstreams_of_other_hosts_expire_on_an_isolated_host() {
    let mut network = one_data_centre(3);
    for other in 1..4 {
        network.cut_link(0, other);
    }
    network.run(EXPIRY_MS + STEP_MS);
    assert!(is_available(&network, 0, 0));
    assert!((1..4).all(|upstream| !is_available(&network, 0, upstream)));
}

#[test]
fn a_late_announcement_does_not_revive_an_upstream_that_left() {
    let mut network = one_data_centre(4);
    let name = upstream_name(0);
    let late = network.upstreams[&name].announcement.clone();
    let upstream = network.upstreams.get_mut(&name).expect("exists");
    upstream.announcement.leaving = true;
    assert!(network.announce_now(&name));
    network.upstreams.get_mut(&name).expect("exists").running = false;
    network.run(200);
    assert!((0..4).all(|host| !is_available(&network, host, 0)));
    let now_ms = network.now_ms;
    for host in 0..4 {
        for ahead in 1..100 {
            let mut late = late.clone();
            late.sequence += ahead;
            assert!(!network.host(host).membership.announce(now_ms, late));
        }
    }
    network.run(1_000);
    assert!((0..4).all(|host| !is_available(&network, host, 0)));
    let upstream = network.upstreams.get_mut(&name).expect("exists");
    upstream.announcement = late;
    upstream.announcement.incarnation += 1;
    upstream.running = true;
    network.run(1_100);
    assert!((0..4).all(|host| is_available(&network, host, 0)));
}

#[test]
fn delayed_updates_do_not_revive_a_silent_upstream() {
    let mut network = one_data_centre(5);
    network.faults.local_delay_ms = EXPIRY_MS + 1_000;
    network.run(900);
    network.upstreams.get_mut(&upstream_name(0)).expect("exists").running = false;
    network.faults.local_delay_ms = 2;
    network.run(EXPIRY_MS + STEP_MS);
    for _ in 0..60 {
        assert!((1..4).all(|host| !is_available(&network, host, 0)));
        network.run(STEP_MS);
    }
}

#[test]
fn tokens_sent_by_peers_are_counted_until_the_next_sample() {
    let mut network = one_data_centre(6);
    let name = upstream_name(0);
    network.upstreams.get_mut(&name).expect("exists").running = false;
    for host in 1..3 {
        network.host(host).membership.add_sent_tokens(&name, 500);
    }
    network.run(1_000);
    assert_eq!(network.view(3).upstreams[&name].peer_sent_tokens, 1_000);
    assert_eq!(network.view(1).upstreams[&name].peer_sent_tokens, 500);
    network.upstreams.get_mut(&name).expect("exists").running = true;
    network.run(2_000);
    assert_eq!(network.view(3).upstreams[&name].peer_sent_tokens, 0);
}

#[test]
fn cache_events_reach_every_host_of_the_data_centre() {
    let mut network = one_data_centre(7);
    let event = CacheEvent {
        sequence: 9,
        stored: vec!["00000000000000ab".to_owned()],
        evicted: vec!["ffffffffffffffff".to_owned()],
    };
    let name = upstream_name(0);
    let upstream = network.upstreams.get_mut(&name).expect("exists");
    upstream.announcement.cache_events = vec![event.clone()];
    network.announce_now(&name);
    network.upstreams.get_mut(&name).expect("exists").announcement.cache_events.clear();
    network.run(1_000);
    for host in 0..4 {
        let events = network.host(host).membership.take_cache_events();
        assert!(
            events.iter().any(|received| received.upstream == name && received.event == event),
            "host {host} did not receive the cache event"
        );
    }
}

#[test]
fn a_restarted_host_receives_all_records() {
    let mut network = one_data_centre(8);
    network.restart(2);
    network.run(1_500);
    assert_eq!(network.view(2).upstreams.len(), 4);
    assert_eq!(network.view(2).hosts.len(), 4);
    assert!(network.view(2).hosts.contains_key(&host_name(0)));
}

proptest! {
    #[test]
    fn coarse_numbers_are_precise_and_monotonic(value in 0u64..10_000_000_000, more in 0u64..1_000_000) {
        let decoded = coarse::decode(coarse::encode(value));
        prop_assert!(value.abs_diff(decoded) * 100 <= value * 7);
        prop_assert!(coarse::encode(value + more) >= coarse::encode(value));
    }
}
