//! Credit limits how many bytes a stream has in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvillift_mesh::IncomingStream;
use anvillift_schema::link::LinkClass;
use bytes::Bytes;
use tokio::time;

use crate::pair;

const CREDIT_BYTES: u64 = 32 * 1024;
const CHUNK_BYTES: usize = 1000;
/// Far more than the test reads.
const MAX_SENT_BYTES: u64 = 100 * CREDIT_BYTES;
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Sends an endless answer and counts the bytes that the credit allowed.
async fn send_endless_answer(stream: IncomingStream, sent_bytes: Arc<AtomicU64>) {
    let mut sender = stream.answer.answer(pair::answer_head());
    let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
    while sender.send(chunk.clone()).await.is_ok() {
        let sent = sent_bytes.fetch_add(CHUNK_BYTES as u64, Ordering::SeqCst);
        if sent > MAX_SENT_BYTES {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_stalls_only_its_own_stream() {
    let sent_bytes: Arc<AtomicU64> = Arc::default();
    let counter = sent_bytes.clone();
    let (a, _b, _messages) =
        pair::start_linked(move |stream| send_endless_answer(stream, counter.clone())).await;
    let b = "b".into();
    let slow = a.open(&b, LinkClass::Bulk, pair::head(), Bytes::new()).await.expect("slow");
    time::sleep(SETTLE_TIME).await;
    assert!(sent_bytes.load(Ordering::SeqCst) <= CREDIT_BYTES);
    let mut quick = a.open(&b, LinkClass::Bulk, pair::head(), Bytes::new()).await.expect("quick");
    let mut read_bytes = 0;
    while read_bytes < 50 * CREDIT_BYTES {
        read_bytes += quick.body.next().await.expect("item").expect("bytes").len() as u64;
    }
    drop(slow);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_body_arrives_complete_at_a_slow_reader() {
    let (body_tx, mut body_rx) = tokio::sync::mpsc::unbounded_channel();
    let (a, _b, _messages) = pair::start_linked(move |stream: IncomingStream| {
        let body_tx = body_tx.clone();
        async move {
            let IncomingStream { mut body, answer, .. } = stream;
            time::sleep(SETTLE_TIME).await;
            let mut received = Vec::new();
            while let Some(item) = body.next().await {
                received.extend_from_slice(&item.expect("bytes"));
            }
            let _ = body_tx.send(received);
            answer.answer(pair::answer_head()).finish();
        }
    })
    .await;
    let body: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    let opened = a.open(&"b".into(), LinkClass::Bulk, pair::head(), body.clone().into()).await;
    let mut answer = opened.expect("answer");
    assert!(answer.body.next().await.is_none());
    assert_eq!(pair::within_limit(body_rx.recv()).await.expect("body"), body);
}
