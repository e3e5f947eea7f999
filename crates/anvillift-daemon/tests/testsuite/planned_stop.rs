//! Checks that a planned stop finishes in-flight streams and commands.
//!
//! A host that stops leaves the directory and rejects new requests, but exits
//! only after its in-flight requests have ended.

use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::daemon::{self, Daemons, MODEL, PLAIN};
use crate::stream_upstream::{Pace, StreamUpstream};

/// Starts a stream on host 0 and reads its first event; the upstream holds the rest.
async fn start_held_stream(daemons: &Daemons) -> reqwest::Response {
    let mut answer = None;
    daemon::wait_until("a stream has started", async || {
        let started = daemons.chat(0).send().await.expect("answer");
        let ok = started.status() == 200;
        answer = ok.then_some(started);
        ok
    })
    .await;
    let mut answer = answer.expect("answer");
    let first = answer.chunk().await.expect("chunk").expect("bytes");
    assert!(first.starts_with(b"data: x"));
    answer
}

/// `stopped` is the host that the caller contacted, or the host to which it forwarded the
/// request.
#[rstest]
#[case::on_the_contacted_host(0)]
#[case::on_the_forwarding_target(1)]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_an_in_flight_stream(#[case] stopped: usize) {
    let mut daemons = Daemons::start(2).await;
    let upstream = StreamUpstream::start(&daemons, 1, MODEL, Pace::WaitForRelease).await;
    let answer = start_held_stream(&daemons).await;
    daemons.hosts[stopped].terminate();
    let other = 1 - stopped;
    daemon::wait_until("the host has left the directory", async || {
        let path = format!("/v1/hosts?service={PLAIN}");
        let directory = daemons.get(other, &path).send().await.expect("answer");
        !directory.text().await.expect("text").contains(&format!("\"h{stopped}\""))
    })
    .await;
    let refused = daemons.get(stopped, &format!("/s/{PLAIN}/x")).send().await.expect("answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    let problem: serde_json::Value = refused.json().await.expect("problem");
    assert_eq!(problem["code"], 1305);
    assert_eq!(problem["outcome"], "not_run");
    let other_url = format!("http://{}", daemons.hosts[other].caller_address);
    assert_eq!(problem["hosts"], serde_json::json!([other_url]));
    assert_eq!(daemons.hosts[stopped].exit_status(), None);
    upstream.release();
    let rest = answer.text().await.expect("complete answer");
    assert_eq!(rest, "data: [DONE]\n\n");
    assert!(daemons.hosts[stopped].wait_for_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_an_in_flight_command() {
    let mut daemons = Daemons::start(1).await;
    let upstream = StreamUpstream::start(&daemons, 0, PLAIN, Pace::WaitForRelease).await;
    let url = format!("http://{}/s/{PLAIN}/pivots/7/stop", daemons.hosts[0].caller_address);
    let send_command = async || {
        let request = daemons.client.post(&url).bearer_auth(daemon::CALLER_KEY);
        request.send().await.expect("answer")
    };
    let mut answer = None;
    daemon::wait_until("the command has reached the upstream", async || {
        let started = send_command().await;
        let ok = started.status() == 200;
        answer = ok.then_some(started);
        ok
    })
    .await;
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1);
    daemons.hosts[0].terminate();
    daemon::wait_until("the host reports that it is draining", async || {
        daemons.get(0, "/healthz").send().await.expect("answer").status() == 503
    })
    .await;
    upstream.release();
    let text = answer.expect("answer").text().await.expect("complete answer");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(daemons.hosts[0].wait_for_exit().await.success());
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1);
}
