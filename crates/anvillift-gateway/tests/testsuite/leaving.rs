//! Upstreams, hosts and callers that disconnect, drain or fail.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::cluster::{Cluster, MODEL, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};
use crate::wait;

/// Time without an announcement after which an upstream expires; hosts count as silent after the
/// same time.
const EXPIRY: Duration = Duration::from_secs(3);
/// Margin for a refresh of the view and one request after the expiry.
const MARGIN: Duration = Duration::from_millis(500);

async fn respond_ok(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.respond(200, "{}").await;
    Some(responder)
}

/// Streams one token and then waits until the gateway closes the connection.
async fn stream_until_closed(
    _request: ReceivedRequest,
    mut responder: Responder,
) -> Option<Responder> {
    responder.start_event_stream().await;
    responder.send_event("first").await;
    responder.wait_until_closed().await;
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_the_upstream_request_in_both_regions() {
    let cluster = Cluster::start(1).await;
    let upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, stream_until_closed).await;
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
        assert_eq!(upstream.open_requests.load(Ordering::SeqCst), 1);
        drop(answer);
        wait::until("the upstream request is cancelled", async || {
            upstream.open_requests.load(Ordering::SeqCst) == 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_further_requests() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    upstream.change(|announcement| announcement.leaving = true);
    wait::until("the host sends no request to the upstream", async || {
        cluster.get("oriente-1", &path).send().await.expect("answer").status() == 503
    })
    .await;
    let received = upstream.received().len();
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(answer.headers()["anvillift-outcome"], "not_run");
    assert_eq!(upstream.received().len(), received);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_expired_upstream_gets_no_further_requests() {
    let cluster = Cluster::start(1).await;
    let mut upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    upstream.stop_announcing();
    let silent_since = Instant::now();
    time::sleep_until(silent_since + EXPIRY + MARGIN).await;
    let received = upstream.received().len();
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert_eq!(answer.status(), 503);
    assert_eq!(upstream.received().len(), received);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_host_is_removed_from_the_directory_within_three_seconds() {
    let mut cluster = Cluster::start(2).await;
    cluster.running.remove("costa-sur-2").expect("host").stop();
    let stopped = Instant::now();
    let is_listed = async |host: &str| {
        let directory = cluster.directory(host, PLAIN).await;
        directory.hosts.iter().any(|entry| entry.host.as_str() == "costa-sur-2")
    };
    for host in ["oriente-1", "costa-sur-1"] {
        wait::until("the host is no longer listed", async || !is_listed(host).await).await;
    }
    assert!(stopped.elapsed() <= EXPIRY, "took {:?}", stopped.elapsed());
}
