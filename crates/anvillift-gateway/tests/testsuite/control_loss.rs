//! Control after the loss of hosts and disks.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ReplicaReplacement;
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::name::Name;
use serde_json::Value;
use tokio::time::{Duration, Instant};

use crate::control_cluster::{CONTROL, ControlCluster, profile_change};
use crate::wait;

/// The revision field of a saved configuration at revision 6, in CBOR.
const SAVED_REVISION: &[u8] = b"revision\x06";
/// Time within which a minority must refuse a change: an election timeout of 500 ms and a margin.
const REFUSAL_LIMIT: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_minority_refuses_changes_and_keeps_serving() {
    let mut control = ControlCluster::start(2).await;
    control.submit_until_accepted("oriente-2", &profile_change("first", 1, "a")).await;
    control.wait_until_applied(2).await;
    for host in ["costa-sur-1", "costa-sur-2", "altiplano-1", "altiplano-2"] {
        control.cluster.kill(host);
    }
    wait::until("the replica without a majority has no leader", async || {
        control.control_status("oriente-1").await.leader.is_none()
    })
    .await;
    for host in ["oriente-1", "oriente-2"] {
        let submitted_at = Instant::now();
        let refused = control.submit(host, &profile_change("second", 2, "b")).await;
        assert!(submitted_at.elapsed() < REFUSAL_LIMIT);
        let refused = refused.expect_err("the change is refused");
        assert_eq!(refused.code, Code::NoLeader.number());
        assert!(refused.retry_after_ms.is_some());
        assert_eq!(control.configuration(host).await.revision, 2);
        control.cluster.wait_until_ready(host).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_host_without_a_disk_gets_the_revision_of_its_peers() {
    let mut control = ControlCluster::start(3).await;
    control.submit_until_accepted("oriente-2", &profile_change("first", 1, "a")).await;
    control.wait_until_applied(2).await;
    for host in CONTROL {
        control.cluster.kill(host);
    }
    control.cluster.kill("oriente-3");
    control.cluster.restart("oriente-3").await;
    control.cluster.wait_until_ready("oriente-3").await;
    assert_eq!(control.configuration("oriente-3").await.revision, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_control_host_serves_its_saved_configuration() {
    let mut control = ControlCluster::start(1).await;
    for revision in 1..=5 {
        control
            .submit_until_accepted(
                "oriente-1",
                &profile_change(&format!("{revision}"), revision, "a"),
            )
            .await;
    }
    control.wait_until_applied(6).await;
    // A new configuration is saved with a delay of up to one second.
    let saved = control.disks.path().join("oriente-1").join("configuration");
    wait::until("the newest configuration is saved", async || {
        let bytes = std::fs::read(&saved).unwrap_or_default();
        bytes.windows(SAVED_REVISION.len()).any(|window| window == SAVED_REVISION)
    })
    .await;
    for host in CONTROL {
        control.cluster.kill(host);
    }
    control.cluster.restart("oriente-1").await;
    control.cluster.wait_until_ready("oriente-1").await;
    assert_eq!(control.configuration("oriente-1").await.revision, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_change_is_lost_when_a_host_fails_after_a_disk_was_replaced() {
    let mut control = ControlCluster::start(2).await;
    for revision in 1..=100 {
        let change =
            profile_change(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        control.submit_until_accepted("oriente-2", &change).await;
    }
    let leader = control.wait_for_leader().await;
    let lost = *CONTROL.iter().find(|host| **host != leader).expect("a follower");
    let old = voter(&control.control_status(leader).await.voters, lost);
    control.cluster.kill(lost);
    std::fs::remove_dir_all(control.disks.path().join(lost)).expect("the data folder is removed");
    control.cluster.restart(lost).await;
    let new = Voter { host: Name::from(lost), storage_id: storage_id(&control, lost).await };
    assert_ne!(new.storage_id, old.storage_id);
    let replacement = ReplicaReplacement { new: new.clone(), old: Some(old.clone()) };
    wait::until("the replacement is accepted", async || {
        let answer = control.post::<VoterSet>("oriente-2", "control/replace", &replacement).await;
        answer.is_ok()
    })
    .await;
    control
        .wait_for_voters("the new replica has replaced the old one as a voter", |voters| {
            voters.voters.len() == 3
                && voters.voters.contains(&new)
                && !voters.voters.contains(&old)
        })
        .await;
    let second = control.wait_for_leader().await;
    control.cluster.kill(second);
    control.submit_until_accepted("oriente-2", &profile_change("after", 101, "after")).await;
    control.wait_until_applied(102).await;
    let configuration = control.configuration(lost).await;
    for revision in 1..=100 {
        assert!(configuration.profiles.contains_key(format!("p-{revision}").as_str()));
    }
}

fn voter(voters: &VoterSet, host: &str) -> Voter {
    let mut voters = voters.voters.iter();
    voters.find(|voter| voter.host.as_str() == host).expect("a voter").clone()
}

/// Waits until a host is listed with the id of its disk, and returns the id.
async fn storage_id(control: &ControlCluster, host: &str) -> Name {
    let mut id = None;
    wait::until("the host is listed with its storage id", async || {
        let hosts: Vec<Value> = control.get(host, "hosts").await.expect("hosts");
        let record = hosts.iter().map(|host| &host["record"]).find(|record| record["host"] == host);
        id = record.and_then(|record| record["storage_id"].as_str().map(Name::from));
        id.is_some()
    })
    .await;
    id.expect("a storage id")
}
