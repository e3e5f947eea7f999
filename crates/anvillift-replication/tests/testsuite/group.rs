//! Normal operation of groups: commands, restarts, leadership transfer,
//! replacement of hosts, and reads.

use anvillift_consensus::RoleKind;
use anvillift_replication::ProposeError;
use anvillift_schema::consensus::Voter;
use rstest::rstest;

use crate::support::{Group, eventually, folder_of, host, lock, memory_folder};

#[rstest]
#[tokio::test]
async fn commands_are_applied_in_order_on_all_hosts(#[values(false, true)] disks: bool) {
    let root = memory_folder();
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, folder_of(root.path(), &name).filter(|_| disks));
    }
    for number in 1..=120 {
        let answer = group.propose(&format!("command {number}")).await;
        assert_eq!(answer, number.to_string().into_bytes());
    }
    for name in (0..3).map(host) {
        group.wait_until_applied(&name, "command 120").await;
        assert_eq!(lock(&group.members[&name].applied).len(), 120);
    }
}

#[tokio::test]
async fn a_follower_reports_the_leader_and_a_minority_reports_none() {
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, None);
    }
    group.propose("first").await;
    let leader = group.leader().await;
    let follower = (0..3).map(host).find(|name| *name != leader).expect("a follower");
    group.wait_until_applied(&follower, "first").await;
    let rejected = group.members[&follower].handle.propose(b"second".to_vec()).await;
    assert_eq!(rejected, Err(ProposeError::NotLeader { leader: leader.clone() }));
    for name in (0..3).map(host).filter(|name| *name != follower) {
        group.stop(&name).await;
    }
    eventually("the loss of the leader", || {
        group.members[&follower].handle.status().leader.is_none().then_some(())
    })
    .await;
    let rejected = group.members[&follower].handle.propose(b"third".to_vec()).await;
    assert_eq!(rejected, Err(ProposeError::NoLeader));
}

#[tokio::test]
async fn two_thousand_commands_survive_restarts_and_snapshots() {
    let root = memory_folder();
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, folder_of(root.path(), &name));
    }
    for number in 1..=2_000 {
        group.propose(&format!("command {number}")).await;
        if number % 250 == 0 {
            let name =
                if number % 500 == 0 { group.leader().await } else { host(number / 250 % 3) };
            group.stop(&name).await;
            group.start(&name, folder_of(root.path(), &name));
        }
    }
    let expected: Vec<Vec<u8>> =
        (1..=2_000).map(|number| format!("command {number}").into_bytes()).collect();
    for name in (0..3).map(host) {
        group.wait_until_applied(&name, "command 2000").await;
        let applied = lock(&group.members[&name].applied).clone();
        // A command whose answer was lost in a restart may have been proposed
        // twice.
        let mut distinct = applied.clone();
        distinct.dedup();
        assert_eq!(distinct, expected, "{name}");
    }
}

#[tokio::test]
async fn step_down_transfers_leadership() {
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, None);
    }
    group.propose("first").await;
    let leader = group.leader().await;
    group.members[&leader].handle.step_down().await;
    assert_ne!(group.members[&leader].handle.status().role, RoleKind::Leader);
    eventually("a successor", || {
        let mut others = group.members.iter().filter(|(name, _)| **name != leader);
        others.find(|(_, member)| member.handle.status().role == RoleKind::Leader).map(|_| ())
    })
    .await;
}

#[tokio::test]
async fn a_group_survives_a_second_host_failure_after_a_disk_was_replaced() {
    let root = memory_folder();
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, folder_of(root.path(), &name));
    }
    for number in 1..=100 {
        group.propose(&format!("command {number}")).await;
    }
    let leader = group.leader().await;
    let lost = (0..3).map(host).find(|name| *name != leader).expect("a follower");
    group.stop(&lost).await;
    group.start(&lost, Some(root.path().join("new disk")));
    let learner = Voter { host: lost.clone(), storage_id: group.members[&lost].storage_id.clone() };
    group.members[&leader].handle.add_learner(learner.clone()).await.expect("accepted");
    eventually("the replacement", || {
        let voters = group.members[&leader].handle.status().voters;
        (voters.voters.len() == 3 && voters.voters.contains(&learner)).then_some(())
    })
    .await;
    let second = group.leader().await;
    group.stop(&second).await;
    group.propose("after the second loss").await;
    group.wait_until_applied(&lost, "after the second loss").await;
    let applied = lock(&group.members[&lost].applied).clone();
    let expected = (1..=100).map(|number| format!("command {number}").into_bytes());
    assert!(applied[..100].iter().cloned().eq(expected));
}

#[tokio::test]
async fn an_in_memory_group_replaces_a_restarted_host() {
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, None);
    }
    group.propose("first").await;
    for name in (0..3).map(host) {
        group.stop(&name).await;
        group.start(&name, None);
        let identity =
            Voter { host: name.clone(), storage_id: group.members[&name].storage_id.clone() };
        eventually("the replacement of the host", || {
            let mut statuses = group.members.values().map(|member| member.handle.status());
            let leader = statuses.find(|status| status.role == RoleKind::Leader)?;
            (leader.voters.voters.contains(&identity) && leader.voters.learners.is_empty())
                .then_some(())
        })
        .await;
    }
    group.propose("last").await;
    for name in (0..3).map(host) {
        group.wait_until_applied(&name, "first").await;
        group.wait_until_applied(&name, "last").await;
    }
}

#[tokio::test]
async fn a_read_barrier_succeeds_only_on_the_leader_and_covers_answered_commands() {
    let mut group = Group::new(3);
    for name in (0..3).map(host) {
        group.start(&name, None);
    }
    group.propose("first").await;
    let leader = group.leader().await;
    let member = &group.members[&leader];
    member.handle.read_barrier().await.expect("the leader serves reads");
    assert_eq!(lock(&member.applied).len(), 1);
    let follower = (0..3).map(host).find(|name| *name != leader).expect("a follower");
    assert!(group.members[&follower].handle.read_barrier().await.is_err());
}
