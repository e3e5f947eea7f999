//! Tests that an upstream that leaves or no longer announces itself gets no new requests.

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

/// Time without an announcement after which a host sends no more requests to an upstream.
const EXPIRY: Duration = Duration::from_secs(3);
/// Additional time for a request in flight and for the request of the test.
const REQUEST_MARGIN: Duration = Duration::from_secs(1);
const REQUESTS: usize = 20;

/// A plain service that continues to answer when it no longer announces itself.
struct AnnouncedService {
    service: RunningPlain,
    leave: watch::Sender<bool>,
    announcements: JoinHandle<()>,
}

impl AnnouncedService {
    async fn start(cluster: &Cluster, announced_to: &str) -> Self {
        let service = plain::start(PlainSettings::default()).await.expect("a service");
        let url = format!("http://{}", service.addr);
        let settings = AnnounceSettings {
            hosts: vec![cluster.url(announced_to)],
            key: UPSTREAM_KEY.to_owned(),
            ..AnnounceSettings::default()
        };
        let (leave, receiver) = watch::channel(false);
        let announcements = tokio::spawn(async move {
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
        Self { service, leave, announcements }
    }
}

async fn is_refused(cluster: &Cluster, host: &str) -> bool {
    let answer = cluster.read(host, "/pivots/7").send().await.expect("an answer");
    answer.status() == 503
}

async fn assert_gets_no_requests(cluster: &Cluster, upstream: &AnnouncedService) {
    let reads = upstream.service.report().reads;
    for host in cluster.hosts.keys() {
        for _ in 0..REQUESTS {
            assert!(is_refused(cluster, host).await, "{host} sent a request");
        }
    }
    assert_eq!(upstream.service.report().reads, reads);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_leaves_gets_no_requests_from_any_host() {
    // The expiry time is longer than the test, so that hosts can stop sending requests only because
    // the upstream announced that it leaves.
    let sections = "[timing]\nupstream_expiry_ms = 600000\n".to_owned();
    let cluster =
        Cluster::start_with(ClusterSettings { sections, ..ClusterSettings::default() }).await;
    let upstream = AnnouncedService::start(&cluster, "oriente-1").await;
    for host in cluster.hosts.keys() {
        upstreams::wait_until_plain_served(&cluster, host).await;
    }
    upstream.leave.send_replace(true);
    for host in cluster.hosts.keys() {
        wait::within(EXPIRY + REQUEST_MARGIN, "the host sends no requests", async || {
            is_refused(&cluster, host).await
        })
        .await;
    }
    assert_gets_no_requests(&cluster, &upstream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_host_stops_sending_requests_to_an_upstream_that_left() {
    let cluster = Cluster::start().await;
    let upstream = AnnouncedService::start(&cluster, "oriente-1").await;
    upstreams::wait_until_plain_served(&cluster, "oriente-2").await;
    cluster.isolate("oriente-2");
    upstream.leave.send_replace(true);
    wait::within(EXPIRY + REQUEST_MARGIN, "the isolated host sends no requests", async || {
        is_refused(&cluster, "oriente-2").await
    })
    .await;
    let reads = upstream.service.report().reads;
    for _ in 0..REQUESTS {
        assert!(is_refused(&cluster, "oriente-2").await);
    }
    assert_eq!(upstream.service.report().reads, reads);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_gets_no_requests() {
    let cluster = Cluster::start().await;
    let upstream = AnnouncedService::start(&cluster, "oriente-1").await;
    for host in cluster.hosts.keys() {
        upstreams::wait_until_plain_served(&cluster, host).await;
    }
    upstream.announcements.abort();
    for host in cluster.hosts.keys() {
        wait::within(EXPIRY + REQUEST_MARGIN, "the host sends no requests", async || {
            is_refused(&cluster, host).await
        })
        .await;
    }
    assert_gets_no_requests(&cluster, &upstream).await;
}
