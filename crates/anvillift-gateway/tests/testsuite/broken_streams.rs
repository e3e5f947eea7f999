//! Answers that are truncated at the upstream, or whose connection is lost.

use anvillift_schema::public::Problem;
use rstest::rstest;

use crate::cluster::{Cluster, MODEL, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};
use crate::wait;

const TOKENS: [&str; 4] = ["Run", " it", " to", "night"];
const COMPLETE_STREAM: &str =
    "data: Run\n\ndata:  it\n\ndata:  to\n\ndata: night\n\ndata: [DONE]\n\n";

/// Closes the connection in the middle of the third event. A resumed stream is closed after one
/// more event.
async fn truncate_stream(request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    let offset = request.header("anvillift-resume-offset");
    let first: usize = offset.and_then(|text| text.parse().ok()).unwrap_or(0);
    let last = if first == 0 { 2 } else { first + 1 };
    responder.start_event_stream().await;
    for token in &TOKENS[first..last.min(TOKENS.len())] {
        responder.send_event(token).await;
    }
    if last == TOKENS.len() {
        responder.end_event_stream().await;
        return Some(responder);
    }
    responder.send_chunk("data: half an ev").await;
    None
}

/// Ends a stream normally, but without the `[DONE]` event.
async fn end_without_done(
    _request: ReceivedRequest,
    mut responder: Responder,
) -> Option<Responder> {
    responder.start_event_stream().await;
    responder.send_event("Run").await;
    responder.send_raw("0\r\n\r\n").await;
    Some(responder)
}

/// Sends less than the content length in the head, and closes the connection.
async fn truncate_body(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.send_raw("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this").await;
    None
}

/// Body of the first streamed answer. Every answer is read to its end, so that no request that
/// resumes an earlier one follows.
async fn stream_body(cluster: &Cluster, host: &str) -> String {
    let mut body = String::new();
    wait::until("the model is served", async || {
        let answer = cluster.chat(host, true).send().await.expect("answer");
        let status = answer.status();
        body = answer.text().await.expect("body");
        status == 200
    })
    .await;
    body
}

#[rstest]
#[case::same_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_after_the_last_event(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, truncate_stream).await;
    upstream.change(|announcement| announcement.can_resume = true);
    wait::until("the host resumes streams of the upstream", async || {
        stream_body(&cluster, host).await == COMPLETE_STREAM
    })
    .await;
    let received = upstream.received();
    let id = |request: &ReceivedRequest| request.header("anvillift-request-id").map(str::to_owned);
    let last = received.last().and_then(id);
    let attempts: Vec<&ReceivedRequest> =
        received.iter().filter(|request| id(request) == last).collect();
    let [first, second, third] = attempts.as_slice() else { panic!("{attempts:?}") };
    assert_eq!(second.header("anvillift-resume-attempt"), first.header("anvillift-attempt"));
    assert_eq!(third.header("anvillift-resume-attempt"), second.header("anvillift-attempt"));
    assert_eq!(second.header("anvillift-resume-offset"), Some("2"));
    assert_eq!(third.header("anvillift-resume-offset"), Some("3"));
    assert_eq!(second.body, first.body);
}

#[rstest]
#[case::same_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error_event(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, truncate_stream).await;
    let body = stream_body(&cluster, host).await;
    let (before, problem) = body.split_once("event: error\ndata: ").expect("an error event");
    assert_eq!(before, "data: Run\n\ndata:  it\n\n");
    let problem: Problem = serde_json::from_str(problem.trim_end()).expect("a problem");
    assert_eq!(problem.code, 1402);
    assert!(!body.contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_done_event_ends_in_an_error_event() {
    let cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["oriente-1"], "e1", MODEL, end_without_done).await;
    let body = stream_body(&cluster, "oriente-1").await;
    assert!(body.starts_with("data: Run\n\nevent: error\n"), "{body}");
}

#[rstest]
#[case::same_region("costa-sur-1")]
#[case::other_region("oriente-1")]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_plain_answer_is_an_error_for_the_caller(#[case] host: &str) {
    let cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, truncate_body).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    wait::until("the request reaches the upstream", async || {
        match cluster.get(host, &path).send().await {
            Ok(answer) if answer.status() == 503 => false,
            Ok(answer) => {
                assert!(
                    answer.bytes().await.is_err(),
                    "the truncated answer was read without an error"
                );
                true
            }
            // The connection was aborted before the head was written.
            Err(_) => true,
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_link_breaks_ends_in_an_error_event() {
    async fn stream_until_closed(
        _request: ReceivedRequest,
        mut responder: Responder,
    ) -> Option<Responder> {
        responder.start_event_stream().await;
        responder.send_event("Run").await;
        responder.wait_until_closed().await;
        None
    }
    let mut cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, stream_until_closed).await;
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
