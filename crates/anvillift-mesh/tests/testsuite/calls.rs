//! Messages and calls, with and without a link.

use std::time::Duration;

use anvillift_mesh::{CallError, Mesh};
use anvillift_schema::link::{PeerAnswer, PeerCall, PeerMessage};

use crate::pair;

fn call() -> PeerCall {
    PeerCall::LeaseTokens { team: "zacapa".into(), requests_milli: 1, tokens: 2 }
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_and_calls_arrive() {
    let (a, b, mut messages) = pair::start_linked(pair::drop_stream).await;
    let message = PeerMessage::ConfigurationRequest { after_revision: 5 };
    assert!(a.send(&"b".into(), message.clone()));
    let (from, received) = messages.recv().await.expect("message");
    assert_eq!((from.as_str(), received), ("a", message));
    let answer = b.call(&"a".into(), call(), Duration::from_secs(5)).await.expect("answer");
    assert_eq!(
        answer,
        PeerAnswer::Refused { code: 1604, leader: Some("c".into()), retry_after_ms: 7 }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_without_a_link() {
    let (a, _) = pair::settings("127.0.0.1:1");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    let b = "b".into();
    assert!(!a.send(&b, PeerMessage::ConfigurationRequest { after_revision: 0 }));
    let called = a.call(&b, call(), Duration::from_secs(5)).await;
    assert!(matches!(called, Err(CallError::NoLink { .. })), "{called:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_is_dialled_again_after_it_was_lost() {
    let address = pair::unused_address();
    let (a, mut b) = pair::settings(&address);
    b.listen = address;
    let first = Mesh::start(b.clone(), pair::handlers(pair::drop_stream).0).await.expect("start");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    pair::wait_until_linked(&a).await;
    first.stop();
    pair::wait_until("the link is down", || a.linked_hosts().is_empty()).await;
    let _second = Mesh::start(b, pair::handlers(pair::drop_stream).0).await.expect("start");
    pair::wait_until_linked(&a).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_round_trip_is_measured_from_both_sides() {
    let (a, b, _) = pair::start_linked(pair::drop_stream).await;
    pair::wait_until("the round trips are measured", || {
        a.round_trip_ms(&"b".into()).is_some() && b.round_trip_ms(&"a".into()).is_some()
    })
    .await;
    assert_eq!(a.round_trip_ms(&"c".into()), None);
}
