//! Orders to upstreams.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::ControlAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::upstream::{FencedOrder, UpstreamOrder, UpstreamOrderAction};

use crate::cluster::PLAIN;
use crate::control_cluster::ControlCluster;
use crate::fake_upstream::FakeUpstream;
use crate::wait;

fn order(id: &str) -> UpstreamOrder {
    UpstreamOrder {
        order_id: Name::from(id),
        upstream: Name::from("worker"),
        data_centre: Name::from("zacapa-a"),
        action: UpstreamOrderAction::Leave,
        argument: None,
    }
}

/// An upstream that does not compare fencing numbers.
async fn upstream(control: &ControlCluster, hosts: &[&str]) -> FakeUpstream {
    let upstream =
        FakeUpstream::start(&control.cluster, hosts, "worker", PLAIN, |_, mut responder| async {
            responder.respond(200, "{}").await;
            Some(responder)
        })
        .await;
    for host in hosts {
        wait::until("the upstream is listed", async || {
            let upstreams: Vec<serde_json::Value> =
                control.get(host, "upstreams").await.expect("upstreams");
            upstreams.len() == 1
        })
        .await;
    }
    upstream
}

#[tokio::test(flavor = "multi_thread")]
async fn fencing_numbers_increase_and_an_older_order_is_refused() {
    let control = ControlCluster::start(1).await;
    let upstream = upstream(&control, &["oriente-1"]).await;
    let first: ControlAnswer =
        control.post("altiplano-1", "orders", &order("first")).await.expect("delivered");
    let ControlAnswer::Delivered { fencing: first, status: 200 } = first else {
        panic!("{first:?}")
    };
    let second: ControlAnswer =
        control.post("costa-sur-1", "orders", &order("second")).await.expect("delivered");
    let ControlAnswer::Delivered { fencing: second, status: 200 } = second else {
        panic!("{second:?}")
    };
    assert!(second > first);
    let refused = control.post::<ControlAnswer>("oriente-1", "orders", &order("first")).await;
    assert_eq!(refused.map_err(|problem| problem.code), Err(Code::OrderRefused.number()));
    let received: Vec<u64> = upstream
        .received()
        .iter()
        .map(|request| {
            assert_eq!(request.path, "/v1/orders");
            serde_json::from_str::<FencedOrder>(&request.body).expect("an order").fencing
        })
        .collect();
    assert_eq!(received, [first, second]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_entry_host_refuses_an_older_order() {
    let mut control = ControlCluster::start(3).await;
    let upstream = upstream(&control, &["oriente-1", "oriente-2", "oriente-3"]).await;
    for id in ["first", "second"] {
        let answer = control.post("altiplano-1", "orders", &order(id)).await;
        let answer: ControlAnswer = answer.expect("delivered");
        assert!(matches!(answer, ControlAnswer::Delivered { status: 200, .. }), "{answer:?}");
    }
    control.cluster.kill("oriente-1");
    control.wait_for_leader().await;
    wait::until("the next entry host refuses an older order", async || {
        let answer = control.post::<ControlAnswer>("altiplano-1", "orders", &order("first")).await;
        assert_eq!(upstream.received().len(), 2, "the older order reached the upstream");
        answer.is_err_and(|problem| problem.code == Code::OrderRefused.number())
    })
    .await;
    let answer: ControlAnswer =
        control.post("altiplano-1", "orders", &order("third")).await.expect("delivered");
    assert!(matches!(answer, ControlAnswer::Delivered { status: 200, .. }), "{answer:?}");
    assert_eq!(upstream.received().len(), 3);
}
