//! Answers that break off at the upstream.

use anvillift_schema::public::Problem;
use rstest::rstest;

use crate::cluster::{Cluster, MODEL, PLAIN};
use crate::fake_upstream::{FakeUpstream, Responder, SeenRequest};
use crate::wait;

const TOKENS: [&str; 4] = ["Run", " it", " to", "night"];
const WHOLE: &str = "data: Run\n\ndata:  it\n\ndata:  to\n\ndata: night\n\ndata: [DONE]\n\n";

/// Breaks off in the third event, and after one more event when resumed.
async fn breaking(request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    let offset = request.header("anvillift-resume-offset");
    let first: usize = offset.and_then(|text| text.parse().ok()).unwrap_or(0);
    let last = if first == 0 { 2 } else { first + 1 };
    responder.event_stream().await;
    for token in &TOKENS[first..last.min(TOKENS.len())] {
        responder.event(token).await;
    }
    if last == TOKENS.len() {
        responder.end().await;
        return Some(responder);
    }
    responder.chunk("data: half an ev").await;
    None
}

/// Ends a stream without its last event.
async fn ending_early(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.event_stream().await;
    responder.event("Run").await;
    responder.raw("0\r\n\r\n").await;
    Some(responder)
}

/// Sends less than the head told.
async fn cut_short(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.raw("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this").await;
    None
}

async fn question(cluster: &Cluster, host: &str) -> String {
    wait::until("the model is found", async || {
        cluster.chat(host, true).send().await.expect("answer").status() == 200
    })
    .await;
    cluster.chat(host, true).send().await.expect("answer").text().await.expect("body")
}

#[rstest]
#[case::own_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_its_offset(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, breaking).await;
    upstream.change(|announcement| announcement.can_resume = true);
    wait::until("the upstream is known to resume", async || {
        question(&cluster, host).await == WHOLE
    })
    .await;
    let seen = upstream.seen();
    let id = |request: &SeenRequest| request.header("anvillift-request-id").map(str::to_owned);
    let last = seen.last().and_then(id);
    let attempts: Vec<&SeenRequest> = seen.iter().filter(|request| id(request) == last).collect();
    let [first, second, third] = attempts.as_slice() else { panic!("{attempts:?}") };
    assert_eq!(second.header("anvillift-resume-attempt"), first.header("anvillift-attempt"));
    assert_eq!(third.header("anvillift-resume-attempt"), second.header("anvillift-attempt"));
    assert_eq!(second.header("anvillift-resume-offset"), Some("2"));
    assert_eq!(third.header("anvillift-resume-offset"), Some("3"));
    assert_eq!(second.body, first.body);
}

#[rstest]
#[case::own_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error_event(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let _breaking = FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, breaking).await;
    let body = question(&cluster, host).await;
    let (before, problem) = body.split_once("event: error\ndata: ").expect("an error event");
    assert_eq!(before, "data: Run\n\ndata:  it\n\n");
    let problem: Problem = serde_json::from_str(problem.trim_end()).expect("a problem");
    assert_eq!(problem.code, 1402);
    assert!(!body.contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_its_last_event_ends_in_an_error_event() {
    let cluster = Cluster::start(1).await;
    let _early = FakeUpstream::start(&cluster, &["oriente-1"], "e1", MODEL, ending_early).await;
    let body = question(&cluster, "oriente-1").await;
    assert!(body.starts_with("data: Run\n\nevent: error\n"), "{body}");
}

#[rstest]
#[case::own_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_that_breaks_never_looks_whole(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let _cut = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, cut_short).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    wait::until("the upstream is found", async || {
        match cluster.get(host, &path).send().await {
            Ok(answer) if answer.status() == 503 => false,
            Ok(answer) => {
                assert!(answer.bytes().await.is_err(), "the answer looks whole");
                true
            }
            // The connection was aborted before the head was written.
            Err(_) => true,
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_breaks_in_a_stream_ends_it_in_an_error_event() {
    async fn endless(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
        responder.event_stream().await;
        responder.event("Run").await;
        responder.closed().await;
        None
    }
    let mut cluster = Cluster::start(1).await;
    let _endless = FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, endless).await;
    let mut answer = None;
    wait::until("the stream begins", async || {
        let started = cluster.chat("oriente-1", true).send().await.expect("answer");
        let ok = started.status() == 200;
        answer = ok.then_some(started);
        ok
    })
    .await;
    let mut answer = answer.expect("answer");
    assert_eq!(answer.chunk().await.expect("chunk").expect("bytes"), "data: Run\n\n");
    cluster.running.remove("costa-sur-1").expect("host").stop();
    let rest = answer.text().await.expect("rest");
    assert!(rest.starts_with("event: error\n"), "{rest}");
}
