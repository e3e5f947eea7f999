//! A test upstream that streams a long answer, or one that ends when the test releases it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvillift_schema::upstream::{Announcement, UpstreamLoad};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::daemon::{Daemons, UPSTREAM_KEY};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Twice the memory that a daemon may use for a stalled reader.
const LONG_ANSWER_BYTES: usize = 128 * 1024;
const EVENT_BYTES: usize = 400;
/// Bounds the bytes that the kernel buffers of a stream that the daemon does not read.
const SEND_BUFFER_BYTES: u32 = 16 * 1024;
const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// Pace at which an upstream sends its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pace {
    /// Sends one token at a time like an engine, then keeps the connection open.
    Stream,
    /// Sends one event at once, and the end after [`StreamUpstream::release`].
    WaitForRelease,
}

pub(crate) struct StreamUpstream {
    /// Bytes that answers with [`Pace::Stream`] have sent after their first event.
    pub(crate) sent_bytes: Arc<AtomicU64>,
    /// Requests received.
    pub(crate) requests: Arc<AtomicU64>,
    release: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl StreamUpstream {
    /// Starts an upstream of `service` that announces itself to one daemon.
    pub(crate) async fn start(daemons: &Daemons, host: usize, service: &str, pace: Pace) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("buffer");
        socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
        let listener = socket.listen(1024).expect("listen");
        let addr = listener.local_addr().expect("address");
        let announcement = Announcement {
            upstream: format!("u-{service}").as_str().into(),
            service: service.into(),
            url: format!("http://{addr}"),
            incarnation: 1,
            load: UpstreamLoad {
                max_running_requests: 10_000,
                token_rate_milli: 1_000_000_000,
                prefill_rate_tokens_per_s: 1_000_000,
                ..UpstreamLoad::default()
            },
            ..Announcement::default()
        };
        let url = format!("http://{}/v1/upstreams/announce", daemons.hosts[host].caller_address);
        let announce_task = tokio::spawn(announce(daemons.client.clone(), url, announcement));
        let (release, _) = watch::channel(false);
        let upstream = Self {
            sent_bytes: Arc::default(),
            requests: Arc::default(),
            release,
            tasks: vec![announce_task],
        };
        upstream.serve(listener, pace)
    }

    /// Ends the answers that wait for release.
    pub(crate) fn release(&self) {
        self.release.send_replace(true);
    }

    fn serve(mut self, listener: TcpListener, pace: Pace) -> Self {
        let (sent, requests) = (self.sent_bytes.clone(), self.requests.clone());
        let release = self.release.clone();
        self.tasks.push(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, requests) = (sent.clone(), requests.clone());
                tokio::spawn(answer(stream, pace, sent, requests, release.subscribe()));
            }
        }));
        self
    }
}

impl Drop for StreamUpstream {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn announce(client: reqwest::Client, url: String, mut announcement: Announcement) {
    loop {
        announcement.sequence += 1;
        let request = client.post(&url).bearer_auth(UPSTREAM_KEY).json(&announcement);
        let _ = request.send().await;
        time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn answer(
    mut stream: TcpStream,
    pace: Pace,
    sent_bytes: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
    mut release: watch::Receiver<bool>,
) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let data = "x".repeat(EVENT_BYTES);
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    stream.write_all(HEAD.as_bytes()).await.ok()?;
    stream.write_all(chunk.as_bytes()).await.ok()?;
    if pace == Pace::WaitForRelease {
        release.wait_for(|released| *released).await.ok()?;
        return stream.write_all(END.as_bytes()).await.ok();
    }
    for _ in 0..LONG_ANSWER_BYTES / EVENT_BYTES {
        stream.write_all(chunk.as_bytes()).await.ok()?;
        sent_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        time::sleep(TOKEN_INTERVAL).await;
    }
    let mut byte = [0];
    stream.read(&mut byte).await.ok().map(drop)
}
