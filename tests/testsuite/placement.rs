//! Tests that requests and their data stay in the places that the profile allows.

use std::time::Duration;

use anvillift_bench::engine::EngineSettings;
use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{BOUND, CALLER_KEY};
use crate::support::upstreams;

/// Longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const ATTEMPTS: usize = 10;

#[tokio::test(flavor = "multi_thread")]
async fn host_outside_the_allowed_places_refers_to_hosts_inside() {
    let cluster = Cluster::start().await;
    let answer = cluster.ask("costa-sur-1", BOUND, true, 4).send().await.expect("an answer");
    assert_eq!(answer.status(), 421);
    let problem = cluster::problem(answer).await;
    assert_eq!((problem.code, problem.outcome), (Code::PlaceNotAllowed.number(), Outcome::NotRun));
    let mut expected = [cluster.url("oriente-1"), cluster.url("oriente-2")];
    let mut actual = problem.hosts.clone();
    expected.sort();
    actual.sort();
    assert_eq!(actual, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn host_outside_the_allowed_places_answers_before_the_body_is_sent() {
    let cluster = Cluster::start().await;
    let address = &cluster.layout("costa-sur-1").caller_address;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let head = format!(
        "POST /s/{BOUND}/v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\
         Content-Type: application/json\r\nAuthorization: Bearer {CALLER_KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; "HTTP/1.1 421".len()];
    let read = time::timeout(HEAD_TIMEOUT, stream.read_exact(&mut answer)).await;
    read.expect("an answer without the body").expect("read");
    assert_eq!(String::from_utf8(answer).expect("text"), "HTTP/1.1 421");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_never_forwarded_outside_the_allowed_places() {
    let cluster = Cluster::start().await;
    let outside =
        upstreams::start_engine(&cluster, "escuintla-a", BOUND, EngineSettings::default()).await;
    for _ in 0..ATTEMPTS {
        let answer = cluster.ask("oriente-1", BOUND, false, 4).send().await.expect("an answer");
        let problem = cluster::problem(answer).await;
        assert_eq!(problem.code, Code::NoUpstream.number(), "{problem:?}");
        time::sleep(Duration::from_millis(200)).await;
    }
    let inside =
        upstreams::start_engine(&cluster, "zacapa-a", BOUND, EngineSettings::default()).await;
    upstreams::wait_until_model_served(&cluster, "oriente-1", BOUND).await;
    assert_eq!(outside.report().requests, 0);
    assert!(inside.report().requests >= 1);
}
