//! An upstream that leaves gets no new work.

use std::time::Duration;

use anvillift_bench::announce::{self, AnnounceSettings};
use anvillift_bench::plain::{self, PlainSettings, RunningPlain};
use anvillift_schema::upstream::{Announcement, UpstreamLoad};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::support::cluster::Cluster;
use crate::support::layout::{ClusterSettings, PLAIN, UPSTREAM_KEY};
use crate::support::upstreams;
use crate::support::wait;

/// No host gives work to an upstream that it has not heard for this time.
const EXPIRY: Duration = Duration::from_secs(3);
/// Time for a request under way and the test's own look.
const LOOK_MARGIN: Duration = Duration::from_secs(1);
const REQUESTS: usize = 20;

/// A service that goes on answering when it no longer announces itself.
struct Leaving {
    service: RunningPlain,
    leaving: watch::Sender<bool>,
    announcing: JoinHandle<()>,
}

impl Leaving {
    async fn start(cluster: &Cluster, announced_to: &str) -> Self {
        let service = plain::start(PlainSettings::default()).await.expect("a service");
        let url = format!("http://{}", service.addr);
        let settings = AnnounceSettings {
            hosts: vec![cluster.url(announced_to)],
            key: UPSTREAM_KEY.to_owned(),
            ..AnnounceSettings::default()
        };
        let (leaving, receiver) = watch::channel(false);
        let announcing = tokio::spawn(async move {
            let load = UpstreamLoad { max_running_requests: 64, ..UpstreamLoad::default() };
            let announcement = move |sequence, leaving| Announcement {
                upstream: "leaving".into(),
                incarnation: 1,
                sequence,
                service: PLAIN.into(),
                url: url.clone(),
                leaving,
                load: load.clone(),
                ..Announcement::default()
            };
            announce::run(settings, receiver, announcement).await.expect("announced");
        });
        Self { service, leaving, announcing }
    }
}

async fn refused(cluster: &Cluster, host: &str) -> bool {
    let answer = cluster.read(host, "/pivots/7").send().await.expect("an answer");
    answer.status() == 503
}

async fn gets_no_work(cluster: &Cluster, leaving: &Leaving) {
    let reads = leaving.service.report().reads;
    for host in cluster.hosts.keys() {
        for _ in 0..REQUESTS {
            assert!(refused(cluster, host).await, "{host} sent a request");
        }
    }
    assert_eq!(leaving.service.report().reads, reads);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_leaves_gets_no_work_on_any_host() {
    // Expiry is far off, so that only the word of the upstream can count.
    let sections = "[timing]\nupstream_expiry_ms = 600000\n".to_owned();
    let cluster =
        Cluster::start_with(ClusterSettings { sections, ..ClusterSettings::default() }).await;
    let leaving = Leaving::start(&cluster, "oriente-1").await;
    for host in cluster.hosts.keys() {
        upstreams::plain_served(&cluster, host).await;
    }
    leaving.leaving.send_replace(true);
    for host in cluster.hosts.keys() {
        wait::within(EXPIRY + LOOK_MARGIN, "no host sends work", async || {
            refused(&cluster, host).await
        })
        .await;
    }
    gets_no_work(&cluster, &leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_cut_from_its_peers_stops_by_itself() {
    let cluster = Cluster::start().await;
    let leaving = Leaving::start(&cluster, "oriente-1").await;
    upstreams::plain_served(&cluster, "oriente-2").await;
    cluster.isolate("oriente-2");
    leaving.leaving.send_replace(true);
    wait::within(EXPIRY + LOOK_MARGIN, "the host cut off sends no work", async || {
        refused(&cluster, "oriente-2").await
    })
    .await;
    let reads = leaving.service.report().reads;
    for _ in 0..REQUESTS {
        assert!(refused(&cluster, "oriente-2").await);
    }
    assert_eq!(leaving.service.report().reads, reads);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_falls_silent_gets_no_work() {
    let cluster = Cluster::start().await;
    let leaving = Leaving::start(&cluster, "oriente-1").await;
    for host in cluster.hosts.keys() {
        upstreams::plain_served(&cluster, host).await;
    }
    leaving.announcing.abort();
    for host in cluster.hosts.keys() {
        wait::within(EXPIRY + LOOK_MARGIN, "no host sends work", async || {
            refused(&cluster, host).await
        })
        .await;
    }
    gets_no_work(&cluster, &leaving).await;
}
