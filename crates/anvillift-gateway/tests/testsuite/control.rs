//! Changes of the configuration: races, resends, spreading, status.

use std::collections::BTreeSet;

use anvillift_schema::code::Code;
use tokio::time::{Duration, Instant};

use crate::control_cluster::{CONTROL, ControlCluster, put};

/// A change is in force everywhere within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const CHANGES: u64 = 2_000;

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_equal_revision_one_is_accepted() {
    let control = ControlCluster::start(2).await;
    for round in 1..=20 {
        let (one, other) =
            (put(&format!("one-{round}"), round, "a"), put(&format!("other-{round}"), round, "b"));
        let (one, other) =
            tokio::join!(control.submit("oriente-2", &one), control.submit("altiplano-2", &other));
        let refused = match (one, other) {
            (Ok(answer), Err(refused)) | (Err(refused), Ok(answer)) => {
                assert_eq!(answer.revision, round + 1);
                refused
            }
            both => panic!("exactly one is accepted, not {both:?}"),
        };
        assert_eq!(refused.code, Code::RevisionConflict.number());
        assert_eq!(refused.revision, Some(round + 1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_through_another_host_has_the_same_answer() {
    let control = ControlCluster::start(1).await;
    let first = put("first", 1, "a");
    assert_eq!(control.accepted("oriente-1", &first).await, 2);
    control.accepted("oriente-1", &put("second", 2, "b")).await;
    assert_eq!(control.accepted("costa-sur-1", &first).await, 2);
    let reused = control.submit("altiplano-1", &put("first", 3, "c")).await;
    assert_eq!(reused.map_err(|problem| problem.code), Err(Code::ChangeMismatch.number()));
    let unknown = control.status("altiplano-1", "never submitted").await;
    assert_eq!(unknown.map_err(|problem| problem.code), Err(Code::ChangeUnknown.number()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_each_region_within_seconds() {
    let control = ControlCluster::start(3).await;
    for revision in 1..=10 {
        let id = format!("change-{revision}");
        control.accepted("costa-sur-3", &put(&id, revision, "a")).await;
        let accepted = Instant::now();
        loop {
            let status = control.status("oriente-3", &id).await.expect("a status");
            assert!(status.accepted);
            if status.regions.len() == 3 && status.regions.values().all(|region| region.in_force) {
                break;
            }
            assert!(accepted.elapsed() < IN_FORCE_LIMIT, "{status:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let status = control.status("oriente-3", "change-3").await.expect("a status");
    let hosts: BTreeSet<_> =
        status.regions.values().flat_map(|region| region.applied_hosts.clone()).collect();
    assert_eq!(hosts.len(), 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_region_is_named_in_the_status() {
    let mut control = ControlCluster::start(2).await;
    control.cluster.kill("altiplano-1");
    control.cluster.kill("altiplano-2");
    control.accepted("oriente-2", &put("first", 1, "a")).await;
    crate::wait::until("the region is told to be silent", async || {
        let Ok(status) = control.status("oriente-2", "first").await else { return false };
        let region = &status.regions["altiplano"];
        let near = &status.regions["costa-sur"];
        !region.in_force && region.silent.len() == 2 && near.in_force
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_thousand_changes_survive_restarts_and_snapshots() {
    let mut control = ControlCluster::start(1).await;
    for revision in 1..=CHANGES {
        let host = CONTROL[revision as usize % 3];
        let change = put(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        assert_eq!(control.accepted(host, &change).await, revision + 1);
        if revision % 200 == 0 {
            let restarted = if revision % 400 == 0 { control.leader().await } else { CONTROL[0] };
            control.cluster.kill(restarted);
            control.cluster.restart(restarted).await;
        }
    }
    control.everywhere(CHANGES + 1).await;
    for host in CONTROL {
        let configuration = control.configuration(host).await;
        assert_eq!(configuration.revision, CHANGES + 1);
        for revision in 1..=CHANGES {
            assert!(configuration.profiles.contains_key(format!("p-{revision}").as_str()));
        }
    }
    for revision in [1, 777, CHANGES] {
        let change = put(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        assert_eq!(control.accepted(CONTROL[1], &change).await, revision + 1);
    }
}
