//! Tests that a region that is cut off from the others continues to serve its own requests.

use std::time::{Duration, Instant};

use anvillift_bench::engine::EngineSettings;
use tokio::time;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{ClusterSettings, MODEL};
use crate::support::stream;
use crate::support::upstreams;
use crate::support::wait;

/// Duration of the isolation, longer than the time after which a host or an upstream counts as
/// silent.
const ISOLATION_DURATION: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const TOKENS: u32 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn isolated_region_serves_its_own_requests_without_interruption() {
    let cluster = Cluster::start().await;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for data_centre in ["zacapa-a", "xela-a"] {
        let settings = EngineSettings::default();
        engines.push(upstreams::start_engine(&cluster, data_centre, MODEL, settings).await);
        services.push(upstreams::start_plain(&cluster, data_centre).await);
    }
    for host in ["altiplano-1", "altiplano-2", "oriente-1"] {
        upstreams::wait_until_model_served(&cluster, host, MODEL).await;
        upstreams::wait_until_plain_served(&cluster, host).await;
    }
    cluster.isolate_region("altiplano");
    let began = Instant::now();
    while began.elapsed() < ISOLATION_DURATION {
        for host in ["altiplano-1", "altiplano-2", "oriente-1"] {
            assert_served_within_region(&cluster, host).await;
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
    let listed = cluster.directory("altiplano-1", MODEL).await;
    assert!(listed.iter().all(|host| host.starts_with("altiplano")), "{listed:?}");
    cluster.heal();
    wait::until("the regions list the hosts of each other again", async || {
        cluster.directory("altiplano-1", MODEL).await.len() == cluster.hosts.len()
    })
    .await;
}

async fn assert_served_within_region(cluster: &Cluster, host: &str) {
    let region = &cluster.layout(host).region;
    let answer = cluster.ask(host, MODEL, true, TOKENS).send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "{host}");
    let route = cluster::route(&answer);
    assert_eq!(route.matches('/').count(), 2, "{route} leaves the region");
    assert!(route.starts_with(region.as_str()), "{route}");
    assert!(stream::read(answer).await.is_complete);
    let answer = cluster.read(host, "/pivots/7").send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "{host}");
}

#[tokio::test(flavor = "multi_thread")]
async fn diskless_host_starts_with_the_revision_of_its_isolated_region() {
    let settings = ClusterSettings { hosts_per_region: 3, ..ClusterSettings::default() };
    let mut cluster = Cluster::start_with(settings).await;
    let _engine =
        upstreams::start_engine(&cluster, "xela-a", MODEL, EngineSettings::default()).await;
    let revision = submit_change(&cluster).await;
    wait::until("the change has reached the region", async || {
        cluster.revision("altiplano-2").await == Some(revision)
    })
    .await;
    // Without the control host of its region, the restarted host can get the revision only from a
    // host without a disk.
    cluster.kill("altiplano-1");
    cluster.isolate_region("altiplano");
    cluster.restart("altiplano-3").await;
    assert_eq!(cluster.revision("altiplano-3").await, Some(revision));
    upstreams::wait_until_model_served(&cluster, "altiplano-3", MODEL).await;
}

/// Submits a configuration change, and returns the revision after it.
async fn submit_change(cluster: &Cluster) -> u64 {
    let path = cluster.folder().join("change.ini");
    std::fs::write(&path, "[profile added]\npriority = 2\n").expect("written");
    let path = path.to_str().expect("a path");
    let submit = ["change", "submit", path, "--expect-revision", "1", "--change-id", "added"];
    wait::until("the change is accepted", async || {
        cluster.run_as_operator("oriente-1", &submit).code == 0
    })
    .await;
    2
}
