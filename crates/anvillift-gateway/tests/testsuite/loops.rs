//! Loop protection: a request never visits a host or a region twice.

use crate::cluster::{Cluster, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};

async fn respond_ok(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.respond(200, "{}").await;
    Some(responder)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_visited_the_host_or_region_is_refused() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    let hops = {
        let last = upstream.received().pop().expect("request");
        last.header("anvillift-hops").expect("hops").to_owned()
    };
    assert_eq!(hops, "oriente-1,oriente,costa-sur-1,costa-sur");
    for host in ["oriente-1", "costa-sur-1"] {
        let request = cluster.get(host, &path).header("anvillift-hops", &hops);
        let answer = request.send().await.expect("answer");
        assert_eq!(answer.status(), 508);
        assert_eq!(answer.headers()["anvillift-outcome"], "not_run");
    }
    let other_host = cluster.get("oriente-1", &path).header("anvillift-hops", "x, oriente");
    assert_eq!(other_host.send().await.expect("answer").status(), 508);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_forwarded_to_at_most_one_other_region() {
    let cluster = Cluster::start(1).await;
    let _upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    let forwarded = cluster.get("oriente-1", &path).header("anvillift-hops", "a-1,altiplano");
    assert_eq!(forwarded.send().await.expect("answer").status(), 503);
}
