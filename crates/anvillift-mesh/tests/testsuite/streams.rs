//! Ends and breaks of streams.

use std::time::Duration;

use anvillift_mesh::{IncomingStream, Mesh};
use anvillift_schema::code::Code;
use anvillift_schema::link::LinkClass;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time;

use crate::pair;
use crate::relay::Relay;

/// Longer than a link may be silent.
const SILENCE: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_dropped_tells_the_other_side() {
    let (left_tx, mut left_rx) = mpsc::unbounded_channel();
    let (a, _b, _messages) = pair::linked(move |stream: IncomingStream| {
        let left_tx = left_tx.clone();
        async move {
            let sender = stream.answer.answer(pair::answer_head());
            sender.broken().await;
            let _ = left_tx.send(());
        }
    })
    .await;
    let opened = a.open(&"b".into(), LinkClass::Quick, pair::head(), Bytes::new()).await;
    drop(opened.expect("answer"));
    pair::soon(left_rx.recv()).await.expect("the other side saw it");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_opener_that_gives_up_tells_the_other_side() {
    let (left_tx, mut left_rx) = mpsc::unbounded_channel();
    let (a, _b, _messages) = pair::linked(move |stream: IncomingStream| {
        let left_tx = left_tx.clone();
        async move {
            stream.answer.broken().await;
            let _ = left_tx.send(());
        }
    })
    .await;
    let b = "b".into();
    let opening = a.open(&b, LinkClass::Quick, pair::head(), Bytes::new());
    assert!(time::timeout(Duration::from_millis(200), opening).await.is_err());
    pair::soon(left_rx.recv()).await.expect("the other side saw it");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_chunks_of_an_abandoned_stream_reach_no_other() {
    let (a, _b, _messages) = pair::linked(|stream: IncomingStream| async move {
        let mark = stream.head.attempt.as_bytes()[0];
        let mut sender = stream.answer.answer(pair::answer_head());
        for _ in 0..2000 {
            if sender.send(Bytes::from(vec![mark; 100])).await.is_err() {
                return;
            }
        }
        sender.finish();
    })
    .await;
    let b = "b".into();
    for attempt in ["x", "y", "x", "y"] {
        let mut head = pair::head();
        head.attempt = attempt.into();
        let mut answer = a.open(&b, LinkClass::Quick, head, Bytes::new()).await.expect("answer");
        for _ in 0..50 {
            let chunk = answer.body.next().await.expect("item").expect("bytes");
            assert!(chunk.iter().all(|byte| *byte == attempt.as_bytes()[0]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_aborted_answer_gives_its_bytes_and_then_its_code() {
    let (a, _b, _messages) = pair::linked(|stream: IncomingStream| async move {
        let mut sender = stream.answer.answer(pair::answer_head());
        sender.send(Bytes::from_static(b"some")).await.expect("send");
        sender.abort(Code::UpstreamBroke);
    })
    .await;
    let opened = a.open(&"b".into(), LinkClass::Quick, pair::head(), Bytes::new()).await;
    let mut body = opened.expect("answer").body;
    assert_eq!(pair::soon(body.next()).await, Some(Ok(Bytes::from_static(b"some"))));
    assert_eq!(pair::soon(body.next()).await, Some(Err(Code::UpstreamBroke)));
    assert_eq!(pair::soon(body.next()).await, None);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_link_says_whether_the_request_was_sent() {
    let (a, b, _messages) = pair::linked(|stream: IncomingStream| async move {
        stream.answer.broken().await;
    })
    .await;
    let name = "b".into();
    let opening = a.open(&name, LinkClass::Quick, pair::head(), Bytes::new());
    let stopping = async {
        time::sleep(Duration::from_millis(200)).await;
        b.stop();
    };
    let (opened, ()) = tokio::join!(opening, stopping);
    let error = opened.err().expect("the link broke");
    assert!(!error.certainly_not_sent);
    pair::until("the link is down", || a.linked().is_empty()).await;
    let opened = a.open(&name, LinkClass::Quick, pair::head(), Bytes::new()).await;
    assert!(opened.err().expect("no link").certainly_not_sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_on_which_nothing_is_heard_is_closed() {
    let address = pair::own_address();
    let relay = Relay::start(address.clone()).await;
    let (a, mut b) = pair::settings(&relay.address.to_string());
    b.listen = address;
    let b = Mesh::start(b, pair::inbox(pair::refuse).0).await.expect("start");
    let a = Mesh::start(a, pair::inbox(pair::refuse).0).await.expect("start");
    pair::up(&a).await;
    relay.shut();
    let closed =
        pair::until("both sides close the link", || a.linked().is_empty() && b.linked().is_empty());
    time::timeout(SILENCE, closed).await.expect("in time");
    relay.open();
    pair::up(&a).await;
}
