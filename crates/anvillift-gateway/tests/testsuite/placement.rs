//! Bodies and answers stay in the places of their profile.

use std::time::Duration;

use anvillift_schema::public::Problem;
use anvillift_schema::settings::HostSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::cluster::{CALLER_KEY, Cluster, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};
use crate::wait;

/// Time to refuse a request; shorter than the body timeout of the test.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

async fn respond_ok(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.respond(200, "{}").await;
    Some(responder)
}

fn allow(settings: &mut HostSettings, places: &[&str]) {
    let profile = settings.configuration.profiles.get_mut("riego").expect("profile");
    profile.places = places.iter().map(|place| (*place).into()).collect();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_outside_the_places_refuses_before_it_reads_the_body() {
    let cluster = Cluster::start_with(1, |settings| {
        allow(settings, &["costa-sur"]);
        settings.limits.body_timeout_ms = 60_000;
    })
    .await;
    let caller = cluster.url("oriente-1").replace("http://", "");
    let mut stream = TcpStream::connect(&caller).await.expect("connect");
    let head = format!(
        "POST /s/{PLAIN}/pivots/7 HTTP/1.1\r\nhost: {caller}\r\nconnection: close\r\n\
         authorization: Bearer {CALLER_KEY}\r\ncontent-length: 100000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    time::timeout(REFUSAL_TIMEOUT, reading)
        .await
        .expect("an answer before the body timeout")
        .expect("read");
    assert!(answer.starts_with("HTTP/1.1 421 "), "{answer}");
    let (_, body) = answer.split_once("\r\n\r\n").expect("body");
    let problem: Problem = serde_json::from_str(body).expect("problem");
    assert_eq!(problem.code, 1201);
    assert_eq!(problem.outcome.to_string(), "not_run");
    assert_eq!(problem.hosts, [cluster.url("costa-sur-1")]);
}

/// Sends requests for about a second, and checks that none reaches the upstream.
async fn assert_not_forwarded(cluster: &Cluster, upstream: &FakeUpstream) {
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("costa-sur-1", &path).await;
    let received = upstream.received().len();
    for _ in 0..20 {
        let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
        assert!(matches!(answer.status().as_u16(), 421 | 503), "{}", answer.status());
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(upstream.received().len(), received);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_does_not_forward_to_a_place_that_its_revision_forbids() {
    let cluster = Cluster::start_with(1, |settings| {
        if settings.host.name.as_str() == "oriente-1" {
            allow(settings, &["oriente"]);
        }
    })
    .await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, respond_ok).await;
    assert_not_forwarded(&cluster, &upstream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_refuses_a_forwarded_request_that_its_revision_forbids() {
    let cluster = Cluster::start_with(1, |settings| {
        if settings.host.name.as_str() == "costa-sur-1" {
            allow(settings, &["oriente"]);
        }
    })
    .await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    wait::until("the request is forwarded and refused", async || {
        cluster.get("oriente-1", &path).send().await.expect("answer").status() == 421
    })
    .await;
    assert!(upstream.received().is_empty());
}
