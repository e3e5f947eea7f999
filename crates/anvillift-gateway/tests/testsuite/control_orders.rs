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

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_numbered_and_an_older_one_is_stopped() {
    let control = ControlCluster::start(1).await;
    let upstream = FakeUpstream::start(
        &control.cluster,
        &["oriente-1"],
        "worker",
        PLAIN,
        |_, mut responder| async move {
            responder.whole(200, "{}").await;
            Some(responder)
        },
    )
    .await;
    wait::until("the upstream is known", async || {
        let upstreams: Vec<serde_json::Value> =
            control.get("oriente-1", "upstreams").await.expect("upstreams");
        upstreams.len() == 1
    })
    .await;
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
    let stopped = control.post::<ControlAnswer>("oriente-1", "orders", &order("first")).await;
    assert_eq!(stopped.map_err(|problem| problem.code), Err(Code::OrderRefused.number()));
    let seen: Vec<u64> = upstream
        .seen()
        .iter()
        .map(|request| {
            assert_eq!(request.path, "/v1/orders");
            serde_json::from_str::<FencedOrder>(&request.body).expect("an order").fencing
        })
        .collect();
    assert_eq!(seen, [first, second]);
}
