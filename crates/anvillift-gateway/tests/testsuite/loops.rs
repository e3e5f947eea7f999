//! No request comes back to a host or a region.

use crate::cluster::{Cluster, PLAIN};
use crate::fake_upstream::{FakeUpstream, Responder, SeenRequest};

async fn whole(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.whole(200, "{}").await;
    Some(responder)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_back_is_refused() {
    let cluster = Cluster::start(1).await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, whole).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.served("oriente-1", &path).await;
    let hops = {
        let last = upstream.seen().pop().expect("request");
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
async fn a_request_takes_one_region_hop_at_most() {
    let cluster = Cluster::start(1).await;
    let _upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, whole).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.served("oriente-1", &path).await;
    let travelled = cluster.get("oriente-1", &path).header("anvillift-hops", "a-1,altiplano");
    assert_eq!(travelled.send().await.expect("answer").status(), 503);
}
