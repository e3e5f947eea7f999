//! Restarts of voters, all together or one beside a leader.

use anvillift_schema::name::Name;

use crate::harness::setup::{follower, isolate, start_with_leader};
use crate::harness::{Cluster, ELECTION_TIMEOUT_MS, TICK_MS};

const SEED: u64 = 7;

/// All voters lose power and restart at the same moment. With random election
/// delays, about a quarter of such restarts end in a split vote; with an election
/// step, the voters must campaign one after the other.
#[test]
fn voters_that_restart_together_elect_a_leader_without_a_split_vote() {
    const STEP_MS: u64 = 100;
    const WITHIN_TICKS: u64 = (ELECTION_TIMEOUT_MS + 2 * STEP_MS) / TICK_MS;
    for seed in 0..200 {
        let (mut cluster, _) = start_with_leader(5, seed);
        cluster.settings.election_step_ms = STEP_MS;
        let names: Vec<Name> = cluster.nodes.keys().cloned().collect();
        for name in &names {
            cluster.stop(name);
        }
        for name in &names {
            cluster.start(name);
        }
        cluster.run(WITHIN_TICKS as u32);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader within {WITHIN_TICKS} ticks");
    }
}

/// Stops all replicas and restarts them at the same moment without a lease.
fn restart_without_a_lease(cluster: &mut Cluster) {
    cluster.settings.lease_reads = false;
    cluster.settings.election_timeout_ms = 3 * ELECTION_TIMEOUT_MS;
    cluster.settings.election_step_ms = ELECTION_TIMEOUT_MS;
    let names: Vec<Name> = cluster.nodes.keys().cloned().collect();
    for name in &names {
        cluster.stop(name);
    }
    // Messages that the leader had sent are lost with its connections.
    cluster.run(10);
    for name in &names {
        cluster.start(name);
    }
}

/// Without a lease, no voter waits for one to expire. A leader is elected within
/// an election timeout, even if the first voter in the list lacks entries.
#[test]
fn voters_without_a_lease_elect_a_leader_soon_after_a_power_loss() {
    const WITHIN_TICKS: u64 = ELECTION_TIMEOUT_MS / TICK_MS;
    for seed in 0..200 {
        let (mut cluster, _) = start_with_leader(5, seed);
        restart_without_a_lease(&mut cluster);
        cluster.run(WITHIN_TICKS as u32);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader within {WITHIN_TICKS} ticks");
    }
}

/// A single voter that restarts repeatedly must not depose the leader.
#[test]
fn a_restarted_voter_without_a_lease_does_not_depose_the_leader() {
    let (mut cluster, _) = start_with_leader(3, SEED);
    restart_without_a_lease(&mut cluster);
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let restarted = follower(&cluster, &leader);
    for _ in 0..30 {
        cluster.run(3);
        cluster.stop(&restarted);
        cluster.start(&restarted);
    }
    assert_eq!(cluster.leader(), Some(leader));
}

/// Without a lease, an isolated leader must not answer a read, however recent the
/// last responses of the other voters are.
#[test]
fn a_leader_without_a_lease_serves_reads_only_with_a_majority() {
    let (mut cluster, _) = start_with_leader(3, SEED);
    restart_without_a_lease(&mut cluster);
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    isolate(&mut cluster, &leader);
    let read = cluster.read(&leader);
    cluster.run(1);
    assert!(cluster.is_read_pending(read));
}
