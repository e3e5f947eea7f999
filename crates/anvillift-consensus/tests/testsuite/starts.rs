//! Voters that start again together, or beside a leader.

use anvillift_schema::name::Name;

use crate::harness::situations::{follower, isolate, working};
use crate::harness::{Cluster, ELECTION_TIMEOUT_MS, TICK_MS};

const SEED: u64 = 7;

/// The pattern: all voters lose power together and start in the same moment. With
/// waits by lot they split the vote in a quarter of the cases.
#[test]
fn voters_that_start_together_stand_one_after_the_other() {
    const STEP_MS: u64 = 100;
    const WITHIN_TICKS: u64 = (ELECTION_TIMEOUT_MS + 2 * STEP_MS) / TICK_MS;
    for seed in 0..200 {
        let (mut cluster, _) = working(5, seed);
        cluster.settings.election_step_ms = STEP_MS;
        let names: Vec<Name> = cluster.nodes.keys().cloned().collect();
        for name in &names {
            cluster.stop(name);
        }
        for name in &names {
            cluster.start(name);
        }
        cluster.run(WITHIN_TICKS as u32);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader");
    }
}

/// Stops every replica, and starts them in the same moment.
fn start_again_without_a_lease(cluster: &mut Cluster) {
    cluster.settings.reads_by_lease = false;
    cluster.settings.election_timeout_ms = 3 * ELECTION_TIMEOUT_MS;
    cluster.settings.election_step_ms = ELECTION_TIMEOUT_MS;
    let names: Vec<Name> = cluster.nodes.keys().cloned().collect();
    for name in &names {
        cluster.stop(name);
    }
    // What the leader had sent is lost with its connections.
    cluster.run(10);
    for name in &names {
        cluster.start(name);
    }
}

/// The same without a lease: nobody waits for one that may still hold, also
/// where the first voter lacks entries.
#[test]
fn voters_without_a_lease_find_a_leader_soon_after_a_loss_of_power() {
    const WITHIN_TICKS: u64 = ELECTION_TIMEOUT_MS / TICK_MS;
    for seed in 0..200 {
        let (mut cluster, _) = working(5, seed);
        start_again_without_a_lease(&mut cluster);
        cluster.run(WITHIN_TICKS as u32);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader");
    }
}

/// A replica that starts again alone takes the leadership from nobody.
#[test]
fn a_voter_without_a_lease_that_starts_again_does_not_disturb_the_leader() {
    let (mut cluster, _) = working(3, SEED);
    start_again_without_a_lease(&mut cluster);
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

/// Without a lease a leader that is cut off answers no read, however fresh the
/// last answers of the others are.
#[test]
fn a_leader_without_a_lease_reads_by_a_majority_only() {
    let (mut cluster, _) = working(3, SEED);
    start_again_without_a_lease(&mut cluster);
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    isolate(&mut cluster, &leader);
    let read = cluster.read(&leader);
    cluster.run(1);
    assert!(cluster.read_waits(read));
}
