//! Measures traffic and CPU time of membership by system size, in virtual time.
//!
//! `cargo run --release -p anvillift-membership --example scale`

#![allow(clippy::print_stdout, missing_docs, unreachable_pub)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::{Faults, Network, Size};

const WARM_UP_MS: u64 = 10_000;
const MEASURED_MS: u64 = 20_000;

fn main() {
    println!(
        "hosts centres upstreams  sent B/s mean  max   received B/s mean  max   CPU us per host s  % core  state B"
    );
    let sizes = [(8, 3, 3, 33), (24, 4, 3, 114), (72, 8, 5, 341), (380, 28, 10, 1800)];
    for (hosts, data_centres, regions, upstreams) in sizes {
        let size = Size { hosts, data_centres, regions, upstreams, services: 6 };
        measure(size);
    }
}

fn measure(size: Size) {
    let faults = Faults { local_delay_ms: 2, remote_delay_ms: 40, ..Faults::default() };
    let mut network = Network::new(size, faults, 1);
    network.run(WARM_UP_MS);
    network.count_bytes = true;
    network.run(MEASURED_MS);
    network.count_bytes = false;
    let started = Instant::now();
    network.run(MEASURED_MS);
    let busy_us = started.elapsed().as_micros() as u64;
    let seconds = MEASURED_MS / 1000;
    let sent: Vec<u64> = network.hosts.values().map(|host| host.sent_bytes / seconds).collect();
    let received = network.hosts.values().map(|host| host.received_bytes / seconds);
    let received: Vec<u64> = received.collect();
    let mean = |values: &[u64]| values.iter().sum::<u64>() / values.len() as u64;
    let max = |values: &[u64]| values.iter().max().copied().unwrap_or(0);
    let host_us = busy_us / seconds / size.hosts as u64;
    println!(
        "{:5} {:7} {:9}  {:13} {:5}  {:17} {:5}  {:17}  {:6.3}  {:7}",
        size.hosts,
        size.data_centres,
        size.upstreams,
        mean(&sent),
        max(&sent),
        mean(&received),
        max(&received),
        host_us,
        host_us as f64 / 10_000.0,
        state_bytes(&network),
    );
}

/// Encoded size of the membership state of one host.
fn state_bytes(network: &Network) -> usize {
    let view = network.view(0);
    let mut bytes = Vec::new();
    for host in view.hosts.values() {
        ciborium::into_writer(&host.record, &mut bytes).expect("a record encodes");
    }
    for upstream in view.upstreams.values() {
        ciborium::into_writer(&upstream.announcement, &mut bytes).expect("an upstream encodes");
    }
    for data_centre in view.data_centres.values() {
        ciborium::into_writer(&data_centre.summary, &mut bytes).expect("a summary encodes");
    }
    bytes.len()
}
