//! Upstreams: age, leave and what hosts tell each other of them.

mod support;

use anvillift_membership::coarse;
use anvillift_schema::upstream::CacheEvent;
use proptest::prelude::*;
use support::{Faults, Network, STEP_MS, Size, host_name, upstream_name};

/// No new work goes to an upstream that has been silent this long, as the host knows
/// that heard it; the others learn of it one step of the network later.
const EXPIRY_MS: u64 = 3_000 + STEP_MS;

fn one_centre(seed: u64) -> Network {
    let size = Size { hosts: 4, centres: 1, regions: 1, upstreams: 4, services: 1 };
    let faults = Faults { near_delay_ms: 2, ..Faults::default() };
    let mut network = Network::new(size, faults, seed);
    network.run(3_000);
    network
}

fn used(network: &Network, host: usize, upstream: usize) -> bool {
    network.view(host).upstreams.contains_key(&upstream_name(upstream))
}

#[test]
fn every_host_knows_every_upstream_with_its_load() {
    let mut network = one_centre(1);
    network.run(1_000);
    for host in 0..4 {
        let view = network.view(host);
        assert_eq!(view.upstreams.len(), 4);
        assert!(view.upstreams.values().all(|known| known.announcement.load.sampled_ms > 0));
    }
}

#[test]
fn a_silent_upstream_expires_however_often_hosts_tell_of_it() {
    let mut network = one_centre(2);
    network.upstreams.get_mut(&upstream_name(0)).expect("exists").running = false;
    network.run(EXPIRY_MS + STEP_MS);
    assert!((0..4).all(|host| !used(&network, host, 0)));
    assert!((0..4).all(|host| used(&network, host, 1)));
}

#[test]
fn an_upstream_expires_on_a_host_cut_from_its_peers() {
    let mut network = one_centre(3);
    for other in 1..4 {
        network.cut_both_ways(0, other);
    }
    network.run(EXPIRY_MS + STEP_MS);
    assert!(used(&network, 0, 0));
    assert!((1..4).all(|upstream| !used(&network, 0, upstream)));
}

#[test]
fn a_late_announcement_does_not_bring_back_an_upstream_that_left() {
    let mut network = one_centre(4);
    let name = upstream_name(0);
    let late = network.upstreams[&name].announcement.clone();
    let known = network.upstreams.get_mut(&name).expect("exists");
    known.announcement.leaving = true;
    assert!(network.announce_now(&name));
    network.upstreams.get_mut(&name).expect("exists").running = false;
    network.run(200);
    assert!((0..4).all(|host| !used(&network, host, 0)));
    let now_ms = network.now_ms;
    for host in 0..4 {
        for ahead in 1..100 {
            let mut late = late.clone();
            late.sequence += ahead;
            assert!(!network.host(host).members.announce(now_ms, late));
        }
    }
    network.run(1_000);
    assert!((0..4).all(|host| !used(&network, host, 0)));
    let known = network.upstreams.get_mut(&name).expect("exists");
    known.announcement = late;
    known.announcement.incarnation += 1;
    known.running = true;
    network.run(1_100);
    assert!((0..4).all(|host| used(&network, host, 0)));
}

#[test]
fn news_held_up_by_a_frozen_host_do_not_revive_an_upstream() {
    let mut network = one_centre(5);
    network.faults.near_delay_ms = EXPIRY_MS + 1_000;
    network.run(900);
    network.upstreams.get_mut(&upstream_name(0)).expect("exists").running = false;
    network.faults.near_delay_ms = 2;
    network.run(EXPIRY_MS + STEP_MS);
    for _ in 0..60 {
        assert!((1..4).all(|host| !used(&network, host, 0)));
        network.run(STEP_MS);
    }
}

#[test]
fn tokens_sent_by_peers_are_known_until_the_next_sample() {
    let mut network = one_centre(6);
    let name = upstream_name(0);
    network.upstreams.get_mut(&name).expect("exists").running = false;
    for host in 1..3 {
        network.host(host).members.add_sent_tokens(&name, 500);
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
    let mut network = one_centre(7);
    let event = CacheEvent {
        sequence: 9,
        stored: vec!["00000000000000ab".to_owned()],
        evicted: vec!["ffffffffffffffff".to_owned()],
    };
    let name = upstream_name(0);
    let known = network.upstreams.get_mut(&name).expect("exists");
    known.announcement.cache_events = vec![event.clone()];
    network.announce_now(&name);
    network.upstreams.get_mut(&name).expect("exists").announcement.cache_events.clear();
    network.run(1_000);
    for host in 0..4 {
        let heard = network.host(host).members.take_cache_events();
        assert!(heard.iter().any(|heard| heard.upstream == name && heard.event == event), "{host}");
    }
}

#[test]
fn a_host_that_joins_late_learns_all_records() {
    let mut network = one_centre(8);
    network.restart(2);
    network.run(1_500);
    assert_eq!(network.view(2).upstreams.len(), 4);
    assert_eq!(network.view(2).hosts.len(), 4);
    assert!(network.view(2).hosts.contains_key(&host_name(0)));
}

proptest! {
    #[test]
    fn coarse_numbers_are_near_and_never_fall(value in 0u64..10_000_000_000, more in 0u64..1_000_000) {
        let decoded = coarse::decode(coarse::encode(value));
        prop_assert!(value.abs_diff(decoded) * 100 <= value * 7);
        prop_assert!(coarse::encode(value + more) >= coarse::encode(value));
    }
}
