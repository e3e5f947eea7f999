//! A region cut off from the others goes on serving its own.

use std::time::{Duration, Instant};

use anvillift_bench::engine::EngineSettings;
use tokio::time;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{ClusterSettings, MODEL};
use crate::support::stream;
use crate::support::upstreams;
use crate::support::wait;

/// Longer than any time after which a host or an upstream counts as silent.
const CUT: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(100);
const TOKENS: u32 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn isolated_region_answers_its_own_throughout() {
    let cluster = Cluster::start().await;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for data_centre in ["zacapa-a", "xela-a"] {
        let settings = EngineSettings::default();
        engines.push(upstreams::engine(&cluster, data_centre, MODEL, settings).await);
        services.push(upstreams::plain(&cluster, data_centre).await);
    }
    for host in ["altiplano-1", "altiplano-2", "oriente-1"] {
        upstreams::model_served(&cluster, host, MODEL).await;
        upstreams::plain_served(&cluster, host).await;
    }
    cluster.isolate_region("altiplano");
    let began = Instant::now();
    while began.elapsed() < CUT {
        for host in ["altiplano-1", "altiplano-2", "oriente-1"] {
            served_within_its_region(&cluster, host).await;
        }
        time::sleep(PAUSE).await;
    }
    let known = cluster.directory("altiplano-1", MODEL).await;
    assert!(known.iter().all(|host| host.starts_with("altiplano")), "{known:?}");
    cluster.heal();
    wait::until("the regions know each other again", async || {
        cluster.directory("altiplano-1", MODEL).await.len() == cluster.hosts.len()
    })
    .await;
}

async fn served_within_its_region(cluster: &Cluster, host: &str) {
    let region = &cluster.place(host).region;
    let answer = cluster.ask(host, MODEL, true, TOKENS).send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "{host}");
    let route = cluster::route(&answer);
    assert_eq!(route.matches('/').count(), 2, "{route} leaves the region");
    assert!(route.starts_with(region.as_str()), "{route}");
    assert!(stream::read(answer).await.whole);
    let reading = cluster.read(host, "/pivots/7").send().await.expect("an answer");
    assert_eq!(reading.status(), 200, "{host}");
}

#[tokio::test(flavor = "multi_thread")]
async fn host_without_a_disk_starts_at_the_revision_of_its_isolated_region() {
    let settings = ClusterSettings { hosts_per_region: 3, ..ClusterSettings::default() };
    let mut cluster = Cluster::start_with(settings).await;
    let _engine = upstreams::engine(&cluster, "xela-a", MODEL, EngineSettings::default()).await;
    let revision = changed(&cluster).await;
    wait::until("the change has come to the region", async || {
        cluster.revision("altiplano-2").await == Some(revision)
    })
    .await;
    // The control host of the region is lost, so that only a host without a disk can tell.
    cluster.kill("altiplano-1");
    cluster.isolate_region("altiplano");
    cluster.restart("altiplano-3").await;
    assert_eq!(cluster.revision("altiplano-3").await, Some(revision));
    upstreams::model_served(&cluster, "altiplano-3", MODEL).await;
}

/// Changes the configuration; gives the revision after it.
async fn changed(cluster: &Cluster) -> u64 {
    let path = cluster.folder().join("change.ini");
    std::fs::write(&path, "[profile added]\npriority = 2\n").expect("written");
    let path = path.to_str().expect("a path");
    let submit = ["change", "submit", path, "--expect-revision", "1", "--change-id", "added"];
    wait::until("the change is accepted", async || cluster.operate("oriente-1", &submit).code == 0)
        .await;
    2
}
