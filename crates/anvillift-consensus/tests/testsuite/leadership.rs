//! Scenario tests of leadership, membership changes, leases and snapshots.

use anvillift_consensus::{Effect, ReplicaStatus, RoleKind};
use anvillift_schema::consensus::{ConsensusEnvelope, ConsensusMessage, SnapshotMeta, Voter};
use anvillift_schema::name::Name;

use rstest::rstest;

use crate::harness::setup::{follower, isolate, replica, start_with_leader};
use crate::harness::{Cluster, ELECTION_TIMEOUT_MS};

const SEED: u64 = 7;
/// Maximum duration of a repair, in ticks.
const REPAIR_TICKS: u32 = 200;

/// Delivers a constructed message, such as a delayed one, and passes the
/// resulting effects to `inspect`.
fn deliver(
    cluster: &mut Cluster,
    from: &Name,
    to: &Name,
    message: impl Fn(&ReplicaStatus) -> ConsensusMessage,
    inspect: impl Fn(&[Effect]),
) {
    let envelope = ConsensusEnvelope {
        group: cluster.settings.group.clone(),
        from_storage_id: cluster.nodes[from].storage_id.clone(),
        to_storage_id: cluster.nodes[to].storage_id.clone(),
        message: message(&replica(cluster, to).status()),
    };
    cluster.call(to, |replica, now_ms| {
        let effects = replica.receive(now_ms, from, envelope);
        inspect(&effects);
        effects
    });
}

#[rstest]
fn a_reconnected_follower_does_not_depose_the_leader(#[values(3, 5)] size: usize) {
    let (mut cluster, leader) = start_with_leader(size, SEED);
    let term = replica(&cluster, &leader).status().term;
    let follower = follower(&cluster, &leader);
    isolate(&mut cluster, &follower);
    cluster.run(200);
    cluster.blocked_links.clear();
    cluster.run(200);
    let status = replica(&cluster, &leader).status();
    assert_eq!((status.role, status.term), (RoleKind::Leader, term));
}

#[rstest]
fn an_isolated_leader_steps_down_and_rejects_proposals(#[values(3, 5)] size: usize) {
    let (mut cluster, leader) = start_with_leader(size, SEED);
    isolate(&mut cluster, &leader);
    let uncommitted = cluster.propose(&leader);
    cluster.run(ELECTION_TIMEOUT_MS as u32 / 10 + 3);
    assert_ne!(replica(&cluster, &leader).status().role, RoleKind::Leader);
    let rejected = cluster.propose(&leader);
    cluster.run(50);
    let successor = cluster.leader().expect("a new leader");
    assert_ne!(successor, leader);
    assert!(
        !cluster.answered.contains_key(&uncommitted) && !cluster.answered.contains_key(&rejected)
    );
}

#[test]
fn a_paused_leader_steps_down_when_it_resumes() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    cluster.paused.insert(leader.clone());
    cluster.run(60);
    assert!(!replica(&cluster, &leader).can_serve_reads(cluster.now_ms));
    cluster.paused.clear();
    let request_id = cluster.propose(&leader);
    assert_ne!(replica(&cluster, &leader).status().role, RoleKind::Leader);
    cluster.run(60);
    assert!(!cluster.answered.contains_key(&request_id));
}

#[rstest]
fn leadership_transfer_needs_no_election_timeout(#[values(1, 2, 3)] seed: u64) {
    let (mut cluster, leader) = start_with_leader(3, seed);
    cluster.call(&leader, |replica, now_ms| replica.transfer_leadership(now_ms));
    cluster.run(ELECTION_TIMEOUT_MS as u32 / 10 - 1);
    let successor = cluster.leader().expect("a successor within the timeout");
    assert_ne!(successor, leader);
}

#[test]
fn a_wiped_replica_is_not_counted_until_it_has_replaced_the_old_voter() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let wiped = follower(&cluster, &leader);
    cluster.wipe(&wiped);
    let other = cluster.nodes.keys().find(|name| **name != leader && **name != wiped);
    let other = other.expect("a third host").clone();
    isolate(&mut cluster, &other);
    let uncommitted = cluster.propose(&leader);
    cluster.run(100);
    assert!(
        !cluster.answered.contains_key(&uncommitted),
        "the wiped replica was counted as a voter"
    );

    cluster.blocked_links.clear();
    cluster.run(100);
    cluster.repair();
    cluster.run(100);
    assert!(cluster.is_fully_replicated());
    isolate(&mut cluster, &other);
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let committed = cluster.propose(&leader);
    cluster.run(50);
    assert!(cluster.answered.contains_key(&committed), "the replacement is not counted as a voter");
}

#[test]
fn a_new_replica_becomes_a_voter_only_after_it_has_caught_up() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let wiped = follower(&cluster, &leader);
    cluster.wipe(&wiped);
    isolate(&mut cluster, &wiped);
    cluster.repair();
    cluster.run(100);
    let identity =
        Voter { host: wiped.clone(), storage_id: cluster.nodes[&wiped].storage_id.clone() };
    let voters = replica(&cluster, &leader).status().voters;
    assert!(voters.learners.contains(&identity) && !voters.voters.contains(&identity));
    assert_eq!(voters.voters.len(), 3, "the old voter stays until the new replica has caught up");
    cluster.blocked_links.clear();
    cluster.run(100);
    assert!(cluster.is_fully_replicated());
}

#[test]
fn a_group_survives_a_second_host_failure_right_after_a_repair() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let wiped = follower(&cluster, &leader);
    cluster.wipe(&wiped);
    cluster.repair();
    let answered = cluster.propose(&leader);
    for _ in 0..REPAIR_TICKS {
        if !cluster.is_fully_replicated() {
            cluster.run(1);
        }
    }
    assert!(cluster.is_fully_replicated(), "the repair did not finish in time");
    cluster.stop(&leader);
    cluster.run(100);
    assert!(cluster.answered.contains_key(&answered));
    let successor = cluster.leader().expect("a leader among the remaining two");
    let request_id = cluster.propose(&successor);
    cluster.run(50);
    assert!(cluster.answered.contains_key(&request_id));
}

/// Guards against a host that stops before its removal holds: a leader that sends a removed
/// replica nothing more leaves it unaware of the commitment.
#[test]
fn a_removed_replica_learns_that_its_removal_is_committed() {
    let (mut cluster, leader) = start_with_leader(4, SEED);
    let removed = follower(&cluster, &leader);
    let storage_id = cluster.nodes[&removed].storage_id.clone();
    let identity = Voter { host: removed.clone(), storage_id };
    cluster.call(&leader, |replica, now_ms| {
        replica.remove_replica(now_ms, &identity).expect("an accepted change")
    });
    cluster.run(20);
    let status = replica(&cluster, &removed).status();
    assert!(!status.voters.voters.contains(&identity), "voters: {:?}", status.voters);
    assert!(status.commit_index >= status.voters_index, "the removal is not committed there");

    cluster.run(ELECTION_TIMEOUT_MS as u32);
    let request = cluster.propose(&leader);
    cluster.run(20);
    assert!(cluster.answered.contains_key(&request), "the others form a majority");
    let last_index = replica(&cluster, &removed).status().last_index;
    assert_eq!(last_index, status.last_index, "the removed replica still receives the log");
}

#[test]
fn a_follower_far_behind_catches_up_by_a_snapshot() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let lagging = follower(&cluster, &leader);
    isolate(&mut cluster, &lagging);
    for _ in 0..50 {
        cluster.propose(&leader);
        cluster.run(3);
    }
    cluster.compact(&leader);
    cluster.blocked_links.clear();
    cluster.run(50);
    let commit_index = replica(&cluster, &leader).status().commit_index;
    assert_eq!(replica(&cluster, &lagging).status().commit_index, commit_index);
    assert!(cluster.nodes[&lagging].durable.snapshot.as_ref().is_some_and(|s| s.meta.index > 0));
}

/// Guards against a log that fills the memory: its entries may be large, so that their number
/// bounds nothing. A follower that was cut off for longer than is kept gets a snapshot.
#[test]
fn entries_kept_after_a_snapshot_are_bounded_by_their_size() {
    const TRAILING_BYTES: usize = 400;
    let mut cluster = Cluster::new(3, SEED);
    cluster.settings.trailing_entries = 1_000;
    cluster.settings.trailing_bytes = TRAILING_BYTES;
    let names: Vec<Name> = cluster.nodes.keys().cloned().collect();
    for name in &names {
        cluster.stop(name);
        cluster.start(name);
    }
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let lagging = follower(&cluster, &leader);
    isolate(&mut cluster, &lagging);
    for _ in 0..50 {
        cluster.propose(&leader);
        cluster.run(3);
    }
    assert!(replica(&cluster, &leader).bytes_after(0) > TRAILING_BYTES);
    cluster.compact(&leader);
    let kept_bytes = replica(&cluster, &leader).bytes_after(0);
    assert!(kept_bytes > 0 && kept_bytes <= TRAILING_BYTES, "{kept_bytes} bytes");
    cluster.blocked_links.clear();
    cluster.run(50);
    let commit_index = replica(&cluster, &leader).status().commit_index;
    assert_eq!(replica(&cluster, &lagging).status().commit_index, commit_index);
    assert!(cluster.nodes[&lagging].durable.snapshot.as_ref().is_some_and(|s| s.meta.index > 0));
}

#[test]
fn a_replica_with_a_damaged_log_does_not_vote_before_its_refetch_is_complete() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let damaged = follower(&cluster, &leader);
    let third = cluster.nodes.keys().find(|name| **name != leader && **name != damaged);
    let third = third.expect("a third host").clone();
    isolate(&mut cluster, &third);
    let committed = cluster.propose(&leader);
    cluster.run(30);
    assert!(cluster.answered.contains_key(&committed));
    cluster.stop(&leader);
    cluster.damage(&damaged, 0);
    cluster.start(&damaged);
    cluster.blocked_links.clear();
    cluster.run(200);
    assert_eq!(cluster.leader(), None, "a leader was elected without the committed entry");
    cluster.start(&leader);
    cluster.run(200);
    assert!(cluster.is_fully_replicated());
    assert!(cluster.leader().is_some());
}

#[test]
fn a_restarted_follower_respects_the_lease_of_the_leader() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let restarted = follower(&cluster, &leader);
    let third = cluster.nodes.keys().find(|name| **name != leader && **name != restarted);
    let third = third.expect("a third host").clone();
    cluster.blocked_links.insert((leader.clone(), third.clone()));
    cluster.blocked_links.insert((third.clone(), leader.clone()));
    cluster.run(30);
    for _ in 0..30 {
        cluster.run(3);
        cluster.stop(&restarted);
        cluster.start(&restarted);
    }
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn a_read_after_the_lease_expired_waits_for_a_majority() {
    let (mut cluster, _) = start_with_leader(3, SEED);
    cluster.settings.clock_drift_milli = 900;
    for name in cluster.nodes.keys().cloned().collect::<Vec<_>>() {
        cluster.stop(&name);
        cluster.start(&name);
    }
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    isolate(&mut cluster, &leader);
    cluster.run(4);
    assert!(!replica(&cluster, &leader).can_serve_reads(cluster.now_ms));
    let read = cluster.read(&leader);
    let responder = follower(&cluster, &leader);
    let sent_ms = cluster.now_ms - 30;
    let message = |status: &ReplicaStatus| ConsensusMessage::AppendResponse {
        term: status.term,
        match_index: status.commit_index,
        success: true,
        sent_ms,
    };
    deliver(&mut cluster, &responder, &leader, message, |_| ());
    assert!(
        cluster.is_read_pending(read),
        "a response to an earlier message must not confirm the leadership"
    );
    cluster.blocked_links.clear();
    cluster.run(4);
    assert!(!cluster.is_read_pending(read));
}

#[rstest]
fn a_sync_of_replaced_entries_does_not_count_for_new_ones(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let (mut cluster, first) = start_with_leader(3, seed);
    isolate(&mut cluster, &first);
    for _ in 0..8 {
        cluster.propose(&first);
        cluster.sync(&first);
    }
    cluster.run(60);
    cluster.blocked_links.clear();
    cluster.run(60);
    // The uncommitted entries of the first leader were replaced. It leads again
    // with a shorter log, so an index that it synced before no longer proves that
    // the entry at that index is durable.
    for _ in 0..20 {
        let leader = cluster.leader().expect("a leader");
        if leader == first {
            break;
        }
        cluster.call(&leader, |replica, now_ms| replica.transfer_leadership(now_ms));
        cluster.run(60);
    }
    assert_eq!(cluster.leader(), Some(first.clone()));
    for _ in 0..8 {
        cluster.propose(&first);
        cluster.run(1);
    }
    cluster.run(20);
}

#[rstest]
fn a_replica_with_a_partly_refetched_log_does_not_vote(
    #[values(1, 2, 3, 4, 5, 6, 8, 10)] ticks: u32,
) {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let damaged = follower(&cluster, &leader);
    let third = cluster.nodes.keys().find(|name| **name != leader && **name != damaged);
    let third = third.expect("a third host").clone();
    for _ in 0..6 {
        cluster.propose(&leader);
    }
    cluster.run(20);
    isolate(&mut cluster, &third);
    for _ in 0..30 {
        cluster.propose(&leader);
    }
    cluster.run(30);
    cluster.damage(&damaged, 0);
    cluster.start(&damaged);
    cluster.run(ticks);
    cluster.stop(&leader);
    cluster.blocked_links.clear();
    cluster.run(200);
    cluster.start(&leader);
    cluster.run(200);
    assert!(cluster.is_fully_replicated() && cluster.leader().is_some());
}

#[test]
fn a_delayed_old_snapshot_does_not_reset_a_follower() {
    let (mut cluster, leader) = start_with_leader(3, SEED);
    let follower = follower(&cluster, &leader);
    let before = replica(&cluster, &follower).status();
    let message = |status: &ReplicaStatus| ConsensusMessage::SnapshotRequest {
        term: status.term,
        meta: SnapshotMeta { index: 1, term: status.term, voters: status.voters.clone() },
        offset: 0,
        data: vec![1].into(),
        done: true,
        sent_ms: 0,
    };
    deliver(&mut cluster, &leader, &follower, message, |effects| {
        let installs = |effect: &Effect| matches!(effect, Effect::InstallSnapshot { .. });
        assert!(!effects.iter().any(installs));
    });
    assert_eq!(replica(&cluster, &follower).status().last_index, before.last_index);
}
