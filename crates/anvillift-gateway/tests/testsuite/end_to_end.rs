//! Requests to plain services and models, answered in the region that receives them or in another.

use crate::cluster::{Cluster, MODEL, OPERATOR_KEY, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};
use crate::wait;

async fn respond_pivot(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.respond(200, r#"{"pivot":7,"running":false}"#).await;
    Some(responder)
}

async fn respond_tokens(request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    if !request.body.contains(r#""stream":true"#) {
        responder.respond(200, r#"{"choices":[]}"#).await;
        return Some(responder);
    }
    responder.start_event_stream().await;
    for token in ["Run", " it", " tonight"] {
        responder.send_event(token).await;
    }
    responder.end_event_stream().await;
    Some(responder)
}

const STREAMED: &str = "data: Run\n\ndata:  it\n\ndata:  tonight\n\ndata: [DONE]\n\n";

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_get_is_answered_in_the_region_that_receives_it() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, respond_pivot).await;
    let path = format!("/s/{PLAIN}/pivots/7?unit=mm");
    cluster.wait_until_served("oriente-1", &path).await;
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert_eq!(answer.headers()["anvillift-route"], "oriente/zacapa-a/oriente-1>p1");
    assert_eq!(answer.text().await.expect("body"), r#"{"pivot":7,"running":false}"#);
    let received = upstream.received().pop().expect("request");
    assert_eq!(received.path, "/pivots/7?unit=mm");
    assert_eq!(received.header("authorization"), None);
    assert_eq!(received.header("anvillift-hops"), Some("oriente-1,oriente"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_get_is_answered_from_another_region() {
    let cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, respond_pivot).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    let route = "oriente/zacapa-a/oriente-1>costa-sur/escuintla-a/costa-sur-1>p1";
    assert_eq!(answer.headers()["anvillift-route"], route);
    assert_eq!(answer.text().await.expect("body"), r#"{"pivot":7,"running":false}"#);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_answers_with_and_without_streaming_are_served_in_each_region() {
    let cluster = Cluster::start(1).await;
    let _upstream =
        FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, respond_tokens).await;
    for host in ["costa-sur-1", "oriente-1", "altiplano-1"] {
        wait::until("the model is served", async || {
            cluster.chat(host, false).send().await.expect("answer").status() == 200
        })
        .await;
        let answer = cluster.chat(host, true).send().await.expect("answer");
        assert_eq!(answer.headers()["content-type"], "text/event-stream");
        assert_eq!(answer.text().await.expect("body"), STREAMED);
        let answer = cluster.chat(host, false).send().await.expect("answer");
        assert_eq!(answer.text().await.expect("body"), r#"{"choices":[]}"#);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_can_list_hosts_and_upstreams() {
    let cluster = Cluster::start(2).await;
    let _upstream = FakeUpstream::start(&cluster, &["oriente-2"], "p1", PLAIN, respond_pivot).await;
    cluster.wait_until_served("oriente-1", &format!("/s/{PLAIN}/pivots/7")).await;
    let operator = async |path: &str| -> serde_json::Value {
        let request = cluster.client.get(cluster.url("oriente-1") + path);
        let answer = request.bearer_auth(OPERATOR_KEY).send().await.expect("answer");
        answer.json().await.expect("json")
    };
    let hosts = operator("/v1/operator/hosts").await;
    assert_eq!(hosts.as_array().expect("list").len(), 6);
    let upstreams = operator("/v1/operator/upstreams").await;
    assert_eq!(upstreams[0]["upstream"], "p1");
    let caller = cluster.get("oriente-1", "/v1/operator/hosts").send().await.expect("answer");
    assert_eq!(caller.status(), 401);
}
