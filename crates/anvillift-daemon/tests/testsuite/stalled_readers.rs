//! Checks the memory that a daemon uses for callers that stop reading.
//!
//! Without flow control up to the upstream, the daemon would buffer the rest of
//! each answer for such a caller.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

use crate::daemon::{self, CALLER_KEY, Daemons, MODEL};
use crate::stream_upstream::{Pace, StreamUpstream};

const READERS: u64 = 1000;
const CONCURRENT_STARTS: u64 = 16;
const MAX_BYTES_PER_READER: u64 = 64 * 1024;
const READER_BUFFER_BYTES: u32 = 4 * 1024;
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Requests a stream and reads only the status line; `None` if the status is not 200.
async fn start_stalled_reader(caller: &str) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(READER_BUFFER_BYTES).expect("buffer");
    let mut stream = socket.connect(caller.parse().expect("address")).await.expect("connect");
    let body = r#"{"stream":true,"messages":[]}"#;
    let request = format!(
        "POST /s/{MODEL}/v1/chat/completions HTTP/1.1\r\nhost: {caller}\r\n\
         authorization: Bearer {CALLER_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut start = [0; 15];
    stream.read_exact(&mut start).await.ok()?;
    (&start == b"HTTP/1.1 200 OK").then_some(stream)
}

/// Waits until the upstream has sent nothing for [`IDLE_PERIOD`].
async fn wait_until_idle(upstream: &StreamUpstream) {
    let mut before = u64::MAX;
    daemon::wait_until("the upstream sends nothing more", async || {
        time::sleep(IDLE_PERIOD).await;
        let now = upstream.sent_bytes.load(Ordering::Relaxed);
        let is_idle = now == before;
        before = now;
        is_idle
    })
    .await;
}

#[rstest]
#[case::own_region(1)]
#[case::other_region(2)]
#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_stalled_readers_cost_less_than_64_kib_each(#[case] hosts: usize) {
    let daemons = Daemons::start(hosts).await;
    let upstream = StreamUpstream::start(&daemons, hosts - 1, MODEL, Pace::Stream).await;
    daemon::wait_until("the model is served", async || {
        daemons.chat(0).send().await.is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    let before: Vec<u64> = daemons.hosts.iter().map(daemon::Daemon::resident_bytes).collect();
    let mut readers = Vec::new();
    daemon::wait_until("all readers have a stream", async || {
        let missing = (READERS - readers.len() as u64).min(CONCURRENT_STARTS);
        let starting = (0..missing).map(|_| start_stalled_reader(&daemons.hosts[0].caller_address));
        readers.extend(future::join_all(starting).await.into_iter().flatten());
        readers.len() as u64 == READERS
    })
    .await;
    wait_until_idle(&upstream).await;
    assert!(upstream.requests.load(Ordering::SeqCst) >= READERS);
    for (host, before) in daemons.hosts.iter().zip(before) {
        let growth_bytes = host.resident_bytes().saturating_sub(before);
        let per_reader = growth_bytes / READERS;
        assert!(per_reader < MAX_BYTES_PER_READER, "{per_reader} bytes per reader");
    }
    drop(readers);
}
