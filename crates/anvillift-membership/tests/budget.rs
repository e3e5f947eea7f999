//! What membership sends stays within its budget at every size.

mod support;

use anvillift_membership::members::BUDGET_BYTES_PER_S;
use anvillift_schema::upstream::CacheEvent;
use rstest::rstest;
use support::{Faults, Network, Size};

const WARM_UP_MS: u64 = 9_000;
const MEASURED_S: u64 = 6;

fn network(hosts: usize, centres: usize, regions: usize, upstreams: usize) -> Network {
    let size = Size { hosts, centres, regions, upstreams, services: 6 };
    let faults = Faults { near_delay_ms: 2, far_delay_ms: 40, ..Faults::default() };
    let mut network = Network::new(size, faults, 7);
    network.run(WARM_UP_MS);
    network
}

#[rstest]
#[case::today(8, 3, 3, 33)]
#[case::tens(24, 4, 3, 114)]
#[case::several_regions(72, 8, 5, 341)]
#[case::expected(380, 28, 10, 1800)]
fn every_daemon_stays_within_the_budget(
    #[case] hosts: usize,
    #[case] centres: usize,
    #[case] regions: usize,
    #[case] upstreams: usize,
) {
    let mut network = network(hosts, centres, regions, upstreams);
    network.count_bytes = true;
    for second in 0..MEASURED_S {
        make_busy(&mut network, second);
        network.run(1000);
    }
    for (name, host) in &network.hosts {
        let (sent, received) = (host.sent_bytes / MEASURED_S, host.received_bytes / MEASURED_S);
        assert!(sent <= BUDGET_BYTES_PER_S, "{name} sent {sent} B/s");
        assert!(received <= BUDGET_BYTES_PER_S, "{name} received {received} B/s");
    }
    let view = network.view(0);
    assert_eq!(view.hosts.values().filter(|host| host.alive).count(), hosts);
    assert_eq!(view.data_centres.len(), centres - 1);
}

/// Every upstream stores 64 blocks and every host sends tokens to all it knows.
fn make_busy(network: &mut Network, second: u64) {
    let stored: Vec<String> =
        (0..64).map(|block| format!("{:016x}", second * 64 + block)).collect();
    for upstream in network.upstreams.values_mut() {
        upstream.announcement.cache_events =
            vec![CacheEvent { sequence: second + 1, stored: stored.clone(), evicted: Vec::new() }];
    }
    let now_ms = network.now_ms;
    for host in network.hosts.values_mut() {
        let upstreams = host.members.view(now_ms).upstreams;
        for name in upstreams.keys() {
            host.members.add_sent_tokens(name, 1_000);
        }
    }
}
