//! An upstream whose answers a test writes byte by byte.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvillift_schema::upstream::{Announcement, UpstreamLoad};
use futures_util::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time;

use crate::cluster::{Cluster, UPSTREAM_KEY};

const ANNOUNCE_EVERY: Duration = Duration::from_millis(200);

/// A request as the upstream got it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeenRequest {
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Requests before it on its connection.
    pub(crate) earlier: usize,
}

impl SeenRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Writes one answer.
pub(crate) struct Responder {
    stream: TcpStream,
}

impl Responder {
    pub(crate) async fn raw(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// A whole answer.
    pub(crate) async fn whole(&mut self, status: u16, body: &str) {
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        self.raw(&(head + body)).await;
    }

    /// The head of a streamed answer.
    pub(crate) async fn event_stream(&mut self) {
        self.raw(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        )
        .await;
    }

    /// One event of a streamed answer.
    pub(crate) async fn event(&mut self, data: &str) {
        self.chunk(&format!("data: {data}\n\n")).await;
    }

    pub(crate) async fn chunk(&mut self, text: &str) {
        self.raw(&format!("{:x}\r\n{text}\r\n", text.len())).await;
    }

    /// The end of a streamed answer.
    pub(crate) async fn end(&mut self) {
        self.event("[DONE]").await;
        self.raw("0\r\n\r\n").await;
    }

    /// Waits until the gateway has closed the connection.
    pub(crate) async fn closed(&mut self) {
        let mut byte = [0];
        while matches!(self.stream.read(&mut byte).await, Ok(1..)) {}
    }
}

type Answering =
    Arc<dyn Fn(SeenRequest, Responder) -> BoxFuture<'static, Option<Responder>> + Send + Sync>;

/// An upstream that listens and announces itself.
pub(crate) struct FakeUpstream {
    pub(crate) seen: Arc<Mutex<Vec<SeenRequest>>>,
    pub(crate) open: Arc<AtomicUsize>,
    announcement: Arc<Mutex<Announcement>>,
    serving: JoinHandle<()>,
    announcing: JoinHandle<()>,
}

impl FakeUpstream {
    /// Starts an upstream of a service in a data centre of the cluster. The closure gives the
    /// responder back to keep the connection.
    pub(crate) async fn start<F>(
        cluster: &Cluster,
        hosts: &[&str],
        name: &str,
        service: &str,
        answering: impl Fn(SeenRequest, Responder) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Option<Responder>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let seen: Arc<Mutex<Vec<SeenRequest>>> = Arc::default();
        let open: Arc<AtomicUsize> = Arc::default();
        let answering: Answering =
            Arc::new(move |request, responder| Box::pin(answering(request, responder)));
        let serving = tokio::spawn(serve(listener, seen.clone(), open.clone(), answering));
        let announcement = Arc::new(Mutex::new(Announcement {
            upstream: name.into(),
            service: service.into(),
            url: format!("http://{addr}"),
            incarnation: 1,
            load: UpstreamLoad {
                max_running_requests: 64,
                token_rate_milli: 1_000_000,
                prefill_rate_tokens_per_s: 100_000,
                ..UpstreamLoad::default()
            },
            ..Announcement::default()
        }));
        let urls: Vec<String> = hosts.iter().map(|host| cluster.url(host)).collect();
        let announcing = tokio::spawn(announce(urls, announcement.clone()));
        Self { seen, open, announcement, serving, announcing }
    }

    /// Changes what is announced from now on.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Announcement)) {
        change(&mut self.announcement.lock().expect("lock"));
    }

    /// The address it announces.
    pub(crate) fn url(&self) -> String {
        self.announcement.lock().expect("lock").url.clone()
    }

    /// Falls silent, but goes on answering.
    pub(crate) fn stop_announcing(&mut self) {
        self.announcing.abort();
    }

    pub(crate) fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().expect("lock").clone()
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        self.serving.abort();
        self.announcing.abort();
    }
}

async fn announce(urls: Vec<String>, announcement: Arc<Mutex<Announcement>>) {
    let client = reqwest::Client::builder().no_proxy().build().expect("client");
    loop {
        let body = {
            let mut announcement = announcement.lock().expect("lock");
            announcement.sequence += 1;
            announcement.clone()
        };
        for url in &urls {
            let request = client.post(format!("{url}/v1/upstreams/announce"));
            let _ = request.bearer_auth(UPSTREAM_KEY).json(&body).send().await;
        }
        time::sleep(ANNOUNCE_EVERY).await;
    }
}

async fn serve(
    listener: TcpListener,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    open: Arc<AtomicUsize>,
    answering: Answering,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (seen, open, answering) = (seen.clone(), open.clone(), answering.clone());
        tokio::spawn(async move {
            let mut responder = Responder { stream };
            let mut earlier = 0;
            while let Some(mut request) = read_request(&mut responder.stream).await {
                request.earlier = earlier;
                earlier += 1;
                seen.lock().expect("lock").push(request.clone());
                open.fetch_add(1, Ordering::SeqCst);
                let kept = answering(request, responder).await;
                open.fetch_sub(1, Ordering::SeqCst);
                match kept {
                    Some(kept) => responder = kept,
                    None => return,
                }
            }
        });
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let path = first.nth(1)?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let mut request = SeenRequest { path, headers, ..SeenRequest::default() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}
