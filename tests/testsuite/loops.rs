//! Tests that requests do not loop between regions or through upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvillift_bench::announce::{self, AnnounceSettings};
use anvillift_schema::code::Code;
use anvillift_schema::upstream::Announcement;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{CALLER_KEY, PLAIN, UPSTREAM_KEY};
use crate::support::wait;

#[rstest]
#[case::own_host("altiplano-1,altiplano,oriente-1")]
#[case::own_region("oriente")]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_already_passed_the_host_or_region_is_refused(#[case] hops: &str) {
    let cluster = Cluster::start().await;
    let request = cluster.read("oriente-1", "/pivots/7").header("Anvillift-Hops", hops);
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 508);
    assert_eq!(cluster::problem(answer).await.code, Code::LoopDetected.number());
}

/// An upstream that forwards each request to an entry host, with the hops in its header.
struct LoopingUpstream {
    requests: Arc<AtomicUsize>,
    _leaving: watch::Sender<bool>,
}

impl LoopingUpstream {
    async fn start(cluster: &Cluster, data_centre: &str, entry_host: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let requests = Arc::new(AtomicUsize::new(0));
        let (_leaving, leaving) = watch::channel(false);
        let settings = AnnounceSettings {
            hosts: cluster.urls_of(data_centre),
            key: UPSTREAM_KEY.to_owned(),
            ..AnnounceSettings::default()
        };
        tokio::spawn(announce::run(settings, leaving, move |sequence, leaving| Announcement {
            upstream: "returning".into(),
            incarnation: 1,
            sequence,
            service: PLAIN.into(),
            url: url.clone(),
            leaving,
            ..Announcement::default()
        }));
        let (entry_host, counted) = (cluster.url(entry_host), requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward_to_entry_host(stream, entry_host.clone()));
            }
        });
        Self { requests, _leaving }
    }
}

/// Forwards one request to an entry host, and answers with the status code of its answer as the
/// body.
async fn forward_to_entry_host(mut stream: TcpStream, entry_host: String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let hops = head.lines().find_map(|line| line.strip_prefix("anvillift-hops: "));
    let request = reqwest::Client::new().get(format!("{entry_host}/s/{PLAIN}/pivots/7"));
    let request = request.bearer_auth(CALLER_KEY).header("Anvillift-Hops", hops.unwrap_or(""));
    let body = match request.send().await {
        Ok(answer) => answer.status().as_str().to_owned(),
        Err(error) => error.to_string(),
    };
    let length = body.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    let _ = stream.write_all(answer.as_bytes()).await;
}

#[rstest]
#[case::same_host("oriente-1")]
#[case::same_region("oriente-2")]
#[case::through_another_region("costa-sur-1")]
#[tokio::test(flavor = "multi_thread")]
async fn loop_through_an_upstream_is_stopped_at_the_first_return(#[case] entry_host: &str) {
    let cluster = Cluster::start().await;
    let upstream = LoopingUpstream::start(&cluster, "zacapa-a", entry_host).await;
    wait::until("the upstream is listed", async || {
        cluster
            .upstreams("oriente-1")
            .await
            .iter()
            .any(|status| status.upstream.as_str() == "returning")
    })
    .await;
    let answer = cluster.read("oriente-1", "/pivots/7").send().await.expect("an answer");
    let body = answer.text().await.expect("text");
    assert_ne!(body, "200", "the loop was not detected");
    if entry_host.starts_with("oriente") {
        assert_eq!(body, "508");
    }
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1, "the upstream gets one request");
}
