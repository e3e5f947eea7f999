//! A region cut off from the others goes on serving its own.

use std::time::{Duration, Instant};

use anvillift_bench::engine::EngineSettings;
use tokio::time;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::MODEL;
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
