//! Upstreams, hosts and callers that leave.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::cluster::{Cluster, MODEL, PLAIN};
use crate::fake_upstream::{FakeUpstream, Responder, SeenRequest};
use crate::wait;

/// An upstream gets no new work after this time without news.
const EXPIRY: Duration = Duration::from_secs(3);
/// Time for a refresh and one request after the expiry.
const MARGIN: Duration = Duration::from_millis(500);

async fn whole(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.whole(200, "{}").await;
    Some(responder)
}

/// Streams one token and then waits until the gateway leaves.
async fn endless(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.event_stream().await;
    responder.event("first").await;
    responder.closed().await;
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_the_upstream_in_both_regions() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, endless).await;
    for host in ["costa-sur-1", "oriente-1"] {
        let mut answer = None;
        wait::until("the stream begins", async || {
            let started = cluster.chat(host, true).send().await.expect("answer");
            let ok = started.status() == 200;
            answer = ok.then_some(started);
            ok
        })
        .await;
        let mut answer = answer.expect("answer");
        let first = answer.chunk().await.expect("chunk").expect("bytes");
        assert_eq!(first, "data: first\n\n");
        assert_eq!(upstream.open.load(Ordering::SeqCst), 1);
        drop(answer);
        wait::until("the upstream sees the caller leave", async || {
            upstream.open.load(Ordering::SeqCst) == 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_at_once() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, whole).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.served("oriente-1", &path).await;
    upstream.change(|announcement| announcement.leaving = true);
    wait::until("no host sends work", async || {
        cluster.get("oriente-1", &path).send().await.expect("answer").status() == 503
    })
    .await;
    let seen = upstream.seen().len();
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(answer.headers()["anvillift-outcome"], "not_run");
    assert_eq!(upstream.seen().len(), seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_upstream_gets_no_new_work_after_its_expiry() {
    let cluster = Cluster::start(1).await;
    let mut upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, whole).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.served("oriente-1", &path).await;
    upstream.stop_announcing();
    let silent_since = Instant::now();
    time::sleep_until(silent_since + EXPIRY + MARGIN).await;
    let seen = upstream.seen().len();
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert_eq!(answer.status(), 503);
    assert_eq!(upstream.seen().len(), seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_host_leaves_the_directory_within_three_seconds() {
    let mut cluster = Cluster::start(2).await;
    cluster.running.remove("costa-sur-2").expect("host").stop();
    let stopped = Instant::now();
    let listed = async |host: &str| {
        let directory = cluster.directory(host, PLAIN).await;
        directory.hosts.iter().any(|entry| entry.host.as_str() == "costa-sur-2")
    };
    for host in ["oriente-1", "costa-sur-1"] {
        wait::until("the host is gone", async || !listed(host).await).await;
    }
    assert!(stopped.elapsed() <= EXPIRY, "took {:?}", stopped.elapsed());
}
