//! Control with hosts and disks lost.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ReplicaReplacement;
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::name::Name;
use serde_json::Value;
use tokio::time::{Duration, Instant};

use crate::control_cluster::{CONTROL, ControlCluster, put};
use crate::wait;

/// The revision field of a saved configuration at revision 6, in CBOR.
const SAVED_REVISION: &[u8] = b"revision\x06";
/// A minority says so within this time: an election timeout and some.
const REFUSAL_LIMIT: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_minority_accepts_nothing_says_so_and_goes_on_serving() {
    let mut control = ControlCluster::start(2).await;
    control.accepted("oriente-2", &put("first", 1, "a")).await;
    control.everywhere(2).await;
    for host in ["costa-sur-1", "costa-sur-2", "altiplano-1", "altiplano-2"] {
        control.cluster.kill(host);
    }
    wait::until("the leader is given up", async || {
        control.control("oriente-1").await.leader.is_none()
    })
    .await;
    for host in ["oriente-1", "oriente-2"] {
        let asked = Instant::now();
        let refused = control.submit(host, &put("second", 2, "b")).await;
        assert!(asked.elapsed() < REFUSAL_LIMIT);
        let refused = refused.expect_err("nothing is accepted");
        assert_eq!(refused.code, Code::NoLeader.number());
        assert!(refused.retry_after_ms.is_some());
        assert_eq!(control.configuration(host).await.revision, 2);
        control.cluster.ready(host).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_disk_takes_what_its_peers_hold() {
    let mut control = ControlCluster::start(3).await;
    control.accepted("oriente-2", &put("first", 1, "a")).await;
    control.everywhere(2).await;
    for host in CONTROL {
        control.cluster.kill(host);
    }
    control.cluster.kill("oriente-3");
    control.cluster.restart("oriente-3").await;
    control.cluster.ready("oriente-3").await;
    assert_eq!(control.configuration("oriente-3").await.revision, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_alone_goes_on_by_what_it_held() {
    let mut control = ControlCluster::start(1).await;
    for revision in 1..=5 {
        control.accepted("oriente-1", &put(&format!("{revision}"), revision, "a")).await;
    }
    control.everywhere(6).await;
    // The configuration held is saved at most once a second.
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
    control.cluster.ready("oriente-1").await;
    assert_eq!(control.configuration("oriente-1").await.revision, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_replaced_and_then_a_second_host_lost() {
    let mut control = ControlCluster::start(2).await;
    for revision in 1..=100 {
        let change = put(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        control.accepted("oriente-2", &change).await;
    }
    let leader = control.leader().await;
    let lost = *CONTROL.iter().find(|host| **host != leader).expect("a follower");
    let old = voter(&control.control(leader).await.voters, lost);
    control.cluster.kill(lost);
    std::fs::remove_dir_all(control.disks.path().join(lost)).expect("the disk is lost");
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
        .voters("the new disk votes in the old one's place", |voters| {
            voters.voters.len() == 3
                && voters.voters.contains(&new)
                && !voters.voters.contains(&old)
        })
        .await;
    let second = control.leader().await;
    control.cluster.kill(second);
    control.accepted("oriente-2", &put("after", 101, "after")).await;
    control.everywhere(102).await;
    let configuration = control.configuration(lost).await;
    for revision in 1..=100 {
        assert!(configuration.profiles.contains_key(format!("p-{revision}").as_str()));
    }
}

fn voter(voters: &VoterSet, host: &str) -> Voter {
    let mut voters = voters.voters.iter();
    voters.find(|voter| voter.host.as_str() == host).expect("a voter").clone()
}

/// The storage id that operators see.
async fn storage_id(control: &ControlCluster, host: &str) -> Name {
    let mut id = None;
    wait::until("the host is seen with its disk", async || {
        let hosts: Vec<Value> = control.get(host, "hosts").await.expect("hosts");
        let record = hosts.iter().map(|seen| &seen["record"]).find(|seen| seen["host"] == host);
        id = record.and_then(|record| record["storage_id"].as_str().map(Name::from));
        id.is_some()
    })
    .await;
    id.expect("a storage id")
}
