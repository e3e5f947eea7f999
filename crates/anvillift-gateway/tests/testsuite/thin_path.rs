//! A question is answered end to end, from the own region and from another.

use crate::cluster::{Cluster, MODEL, OPERATOR_KEY, PLAIN};
use crate::fake_upstream::{FakeUpstream, Responder, SeenRequest};
use crate::wait;

async fn pivot(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.whole(200, r#"{"pivot":7,"running":false}"#).await;
    Some(responder)
}

async fn tokens(request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    if !request.body.contains(r#""stream":true"#) {
        responder.whole(200, r#"{"choices":[]}"#).await;
        return Some(responder);
    }
    responder.event_stream().await;
    for token in ["Run", " it", " tonight"] {
        responder.event(token).await;
    }
    responder.end().await;
    Some(responder)
}

const STREAMED: &str = "data: Run\n\ndata:  it\n\ndata:  tonight\n\ndata: [DONE]\n\n";

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_get_is_answered_in_the_own_region() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, pivot).await;
    let path = format!("/s/{PLAIN}/pivots/7?unit=mm");
    cluster.served("oriente-1", &path).await;
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    assert_eq!(answer.headers()["anvillift-route"], "oriente/zacapa-a/oriente-1>p1");
    assert_eq!(answer.text().await.expect("body"), r#"{"pivot":7,"running":false}"#);
    let seen = upstream.seen().pop().expect("request");
    assert_eq!(seen.path, "/pivots/7?unit=mm");
    assert_eq!(seen.header("authorization"), None);
    assert_eq!(seen.header("anvillift-hops"), Some("oriente-1,oriente"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_get_is_answered_from_another_region() {
    let cluster = Cluster::start(1).await;
    let _upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, pivot).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.served("oriente-1", &path).await;
    let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
    let route = "oriente/zacapa-a/oriente-1>costa-sur/escuintla-a/costa-sur-1>p1";
    assert_eq!(answer.headers()["anvillift-route"], route);
    assert_eq!(answer.text().await.expect("body"), r#"{"pivot":7,"running":false}"#);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_question_is_streamed_and_not_from_both_regions() {
    let cluster = Cluster::start(1).await;
    let _upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "e1", MODEL, tokens).await;
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
async fn operators_see_hosts_and_upstreams() {
    let cluster = Cluster::start(2).await;
    let _upstream = FakeUpstream::start(&cluster, &["oriente-2"], "p1", PLAIN, pivot).await;
    cluster.served("oriente-1", &format!("/s/{PLAIN}/pivots/7")).await;
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
