//! Membership traffic stays within its bandwidth budget at every system size.

mod support;

use anvillift_membership::membership::BUDGET_BYTES_PER_S;
use anvillift_schema::upstream::CacheEvent;
use rstest::rstest;
use support::{Faults, Network, Size};

const WARM_UP_MS: u64 = 9_000;
const MEASURED_S: u64 = 6;

fn network(hosts: usize, data_centres: usize, regions: usize, upstreams: usize) -> Network {
    let size = Size { hosts, data_centres, regions, upstreams, services: 6 };
    let faults = Faults { local_delay_ms: 2, remote_delay_ms: 40, ..Faults::default() };
    let mut network = Network::new(size, faults, 7);
    network.run(WARM_UP_MS);
    network
}

#[rstest]
#[case::eight_hosts(8, 3, 3, 33)]
#[case::tens_of_hosts(24, 4, 3, 114)]
#[case::several_regions(72, 8, 5, 341)]
#[case::hundreds_of_hosts(380, 28, 10, 1800)]
fn every_host_stays_within_the_bandwidth_budget(
    #[case] hosts: usize,
    #[case] data_centres: usize,
    #[case] regions: usize,
    #[case] upstreams: usize,
) {
    let mut network = network(hosts, data_centres, regions, upstreams);
    network.count_bytes = true;
    for second in 0..MEASURED_S {
        generate_load(&mut network, second);
        network.run(1000);
    }
    for (name, host) in &network.hosts {
        let (sent, received) = (host.sent_bytes / MEASURED_S, host.received_bytes / MEASURED_S);
        assert!(sent <= BUDGET_BYTES_PER_S, "{name} sent {sent} B/s");
        assert!(received <= BUDGET_BYTES_PER_S, "{name} received {received} B/s");
    }
    let view = network.view(0);
    assert_eq!(view.hosts.values().filter(|host| host.alive).count(), hosts);
    assert_eq!(view.data_centres.len(), data_centres - 1);
}

/// Lets every upstream store 64 blocks and every host send tokens to all of its upstreams.
fn generate_load(network: &mut Network, second: u64) {
    let stored: Vec<String> =
        (0..64).map(|block| format!("{:016x}", second * 64 + block)).collect();
    for upstream in network.upstreams.values_mut() {
        upstream.announcement.cache_events =
            vec![CacheEvent { sequence: second + 1, stored: stored.clone(), evicted: Vec::new() }];
    }
    let now_ms = network.now_ms;
    for host in network.hosts.values_mut() {
        let upstreams = host.membership.view(now_ms).upstreams;
        for name in upstreams.keys() {
            host.membership.add_sent_tokens(name, 1_000);
        }
    }
}
