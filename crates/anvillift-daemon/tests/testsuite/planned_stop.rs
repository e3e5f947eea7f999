//! A planned stop cuts nothing off.

use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::daemon::{self, Daemons, MODEL, PLAIN};
use crate::stream_upstream::{Pace, StreamUpstream};

/// Starts a stream on host 0 and reads its first event.
async fn held_stream(daemons: &Daemons) -> reqwest::Response {
    let mut answer = None;
    daemon::until("a stream begins", async || {
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

/// `stopped` is the host that the caller asked, or the one that serves it for that host.
#[rstest]
#[case::on_the_host_itself(0)]
#[case::on_its_peers_link(1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_in_flight_is_finished(#[case] stopped: usize) {
    let mut daemons = Daemons::start(2).await;
    let upstream = StreamUpstream::start(&daemons, 1, MODEL, Pace::Held).await;
    let answer = held_stream(&daemons).await;
    daemons.hosts[stopped].terminate();
    let other = 1 - stopped;
    daemon::until("the host is out of the directory", async || {
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
    let elsewhere = format!("http://{}", daemons.hosts[other].caller);
    assert_eq!(problem["hosts"], serde_json::json!([elsewhere]));
    assert_eq!(daemons.hosts[stopped].exit_status(), None);
    upstream.release();
    let rest = answer.text().await.expect("whole answer");
    assert_eq!(rest, "data: [DONE]\n\n");
    assert!(daemons.hosts[stopped].exited().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_in_flight_is_finished() {
    let mut daemons = Daemons::start(1).await;
    let upstream = StreamUpstream::start(&daemons, 0, PLAIN, Pace::Held).await;
    let url = format!("http://{}/s/{PLAIN}/pivots/7/stop", daemons.hosts[0].caller);
    let command = async || {
        let request = daemons.client.post(&url).bearer_auth(daemon::CALLER_KEY);
        request.send().await.expect("answer")
    };
    let mut answer = None;
    daemon::until("the command is sent", async || {
        let started = command().await;
        let ok = started.status() == 200;
        answer = ok.then_some(started);
        ok
    })
    .await;
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1);
    daemons.hosts[0].terminate();
    daemon::until("the host refuses", async || {
        daemons.get(0, "/healthz").send().await.expect("answer").status() == 503
    })
    .await;
    upstream.release();
    let text = answer.expect("answer").text().await.expect("whole answer");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(daemons.hosts[0].exited().await.success());
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1);
}
