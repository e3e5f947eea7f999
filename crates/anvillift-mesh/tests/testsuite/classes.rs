//! Messages and quick streams are written before queued bulk streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvillift_mesh::{IncomingStream, Mesh};
use anvillift_schema::link::{LinkClass, PeerMessage};
use bytes::Bytes;
use tokio::time;

use crate::pair;
use crate::relay::Relay;

const BULK_STREAMS: u64 = 256;
const CREDIT_BYTES: u64 = 32 * 1024;
/// More than the socket buffers hold, and less than one frame of every bulk stream.
const MAX_BYTES_AHEAD: u64 = 768 * 1024;
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Counts the bulk bytes that arrived, in total and before the quick request (plus one).
#[derive(Default)]
struct ArrivedBytes {
    bulk_bytes: AtomicU64,
    before_quick_bytes: AtomicU64,
}

async fn receive(stream: IncomingStream, arrived: Arc<ArrivedBytes>) {
    let mut body = stream.body;
    if stream.class == LinkClass::Quick {
        arrived
            .before_quick_bytes
            .store(arrived.bulk_bytes.load(Ordering::SeqCst) + 1, Ordering::SeqCst);
    }
    while let Some(Ok(bytes)) = body.next().await {
        arrived.bulk_bytes.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    }
    stream.answer.answer(pair::answer_head()).finish();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_link_carries_messages_and_quick_streams_first() {
    let b_address = pair::unused_address();
    let relay = Relay::start(b_address.clone()).await;
    let (a, mut b) = pair::settings(&relay.address.to_string());
    b.listen = b_address;
    let arrived: Arc<ArrivedBytes> = Arc::default();
    let counter = arrived.clone();
    let (handlers, mut messages) = pair::handlers(move |stream| receive(stream, counter.clone()));
    let _b = Mesh::start(b, handlers).await.expect("start");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    pair::wait_until_linked(&a).await;

    let open = |class, bytes: u64| {
        let a = a.clone();
        tokio::spawn(async move {
            let body = Bytes::from(vec![0; bytes as usize]);
            a.open(&"b".into(), class, pair::head(), body).await.map(drop)
        })
    };
    let bulk: Vec<_> = (0..BULK_STREAMS).map(|_| open(LinkClass::Bulk, 2 * CREDIT_BYTES)).collect();
    pair::wait_until("the link is busy", || arrived.bulk_bytes.load(Ordering::SeqCst) > 0).await;
    relay.pause();
    time::sleep(SETTLE_TIME).await;
    let stalled_bytes = arrived.bulk_bytes.load(Ordering::SeqCst);
    let quick = open(LinkClass::Quick, 0);
    time::sleep(SETTLE_TIME).await;
    assert!(a.send(&"b".into(), PeerMessage::ConfigurationRequest { after_revision: 1 }));
    relay.resume();
    pair::within_limit(messages.recv()).await.expect("message");
    let at_message_bytes = arrived.bulk_bytes.load(Ordering::SeqCst);
    pair::within_limit(quick).await.expect("task").expect("answer");
    let at_quick_bytes = arrived.before_quick_bytes.load(Ordering::SeqCst);
    for stream in bulk {
        stream.await.expect("task").expect("answer");
    }
    let message_ahead = at_message_bytes - stalled_bytes;
    let quick_ahead = at_quick_bytes - stalled_bytes;
    assert!(message_ahead < MAX_BYTES_AHEAD, "{message_ahead} bulk bytes before the message");
    assert!(quick_ahead < MAX_BYTES_AHEAD, "{quick_ahead} bulk bytes before the quick stream");
}
