//! Changes of the configuration: concurrent changes, resends, distribution and status.

use std::collections::BTreeSet;

use anvillift_schema::code::Code;
use tokio::time::{Duration, Instant};

use crate::control_cluster::{CONTROL, ControlCluster, profile_change};

/// Time within which a change must be in force in all regions.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const CHANGES: u64 = 2_000;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_is_accepted() {
    let control = ControlCluster::start(2).await;
    for round in 1..=20 {
        let (one, other) = (
            profile_change(&format!("one-{round}"), round, "a"),
            profile_change(&format!("other-{round}"), round, "b"),
        );
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
async fn a_change_sent_again_through_another_host_has_the_same_answer() {
    let control = ControlCluster::start(1).await;
    let first = profile_change("first", 1, "a");
    assert_eq!(control.submit_until_accepted("oriente-1", &first).await, 2);
    control.submit_until_accepted("oriente-1", &profile_change("second", 2, "b")).await;
    assert_eq!(control.submit_until_accepted("costa-sur-1", &first).await, 2);
    let reused = control.submit("altiplano-1", &profile_change("first", 3, "c")).await;
    assert_eq!(reused.map_err(|problem| problem.code), Err(Code::ChangeMismatch.number()));
    let unknown = control.change_status("altiplano-1", "never submitted").await;
    assert_eq!(unknown.map_err(|problem| problem.code), Err(Code::ChangeUnknown.number()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_each_region_within_seconds() {
    let control = ControlCluster::start(3).await;
    for revision in 1..=10 {
        let id = format!("change-{revision}");
        control.submit_until_accepted("costa-sur-3", &profile_change(&id, revision, "a")).await;
        let accepted = Instant::now();
        loop {
            let status = control.change_status("oriente-3", &id).await.expect("a status");
            assert!(status.accepted);
            if status.regions.len() == 3 && status.regions.values().all(|region| region.in_force) {
                break;
            }
            assert!(accepted.elapsed() < IN_FORCE_LIMIT, "{status:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let status = control.change_status("oriente-3", "change-3").await.expect("a status");
    let hosts: BTreeSet<_> =
        status.regions.values().flat_map(|region| region.applied_hosts.clone()).collect();
    assert_eq!(hosts.len(), 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_without_live_hosts_is_silent_in_the_status() {
    let mut control = ControlCluster::start(2).await;
    control.cluster.kill("altiplano-1");
    control.cluster.kill("altiplano-2");
    control.submit_until_accepted("oriente-2", &profile_change("first", 1, "a")).await;
    crate::wait::until("the status lists the region as silent", async || {
        let Ok(status) = control.change_status("oriente-2", "first").await else { return false };
        let region = &status.regions["altiplano"];
        let other_region = &status.regions["costa-sur"];
        !region.in_force && region.silent.len() == 2 && other_region.in_force
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_thousand_changes_survive_restarts_and_snapshots() {
    let mut control = ControlCluster::start(1).await;
    for revision in 1..=CHANGES {
        let host = CONTROL[revision as usize % 3];
        let change =
            profile_change(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        assert_eq!(control.submit_until_accepted(host, &change).await, revision + 1);
        if revision % 200 == 0 {
            let restarted =
                if revision % 400 == 0 { control.wait_for_leader().await } else { CONTROL[0] };
            control.cluster.kill(restarted);
            control.cluster.restart(restarted).await;
        }
    }
    control.wait_until_applied(CHANGES + 1).await;
    for host in CONTROL {
        let configuration = control.configuration(host).await;
        assert_eq!(configuration.revision, CHANGES + 1);
        for revision in 1..=CHANGES {
            assert!(configuration.profiles.contains_key(format!("p-{revision}").as_str()));
        }
    }
    for revision in [1, 777, CHANGES] {
        let change =
            profile_change(&format!("change-{revision}"), revision, &format!("p-{revision}"));
        assert_eq!(control.submit_until_accepted(CONTROL[1], &change).await, revision + 1);
    }
}
