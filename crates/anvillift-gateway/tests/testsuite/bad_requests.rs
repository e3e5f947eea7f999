//! Invalid requests: each is refused with its result code and problem details.

use std::time::Duration;

use anvillift_schema::public::Problem;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::cluster::{CALLER_KEY, Cluster, MODEL, OPERATOR_KEY, PLAIN, UPSTREAM_KEY};

const HEADER_TIMEOUT_MS: u64 = 300;
const BODY_TIMEOUT_MS: u64 = 500;
const MAX_BODY_BYTES: u64 = 10_000;
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

async fn cluster() -> Cluster {
    Cluster::start_with(1, |settings| {
        settings.limits.header_timeout_ms = HEADER_TIMEOUT_MS;
        settings.limits.body_timeout_ms = BODY_TIMEOUT_MS;
        let profile = settings.configuration.profiles.get_mut("riego").expect("profile");
        profile.max_body_bytes = MAX_BODY_BYTES;
    })
    .await
}

/// Sends raw bytes and reads until the host closes the connection.
async fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let caller = cluster.url("oriente-1").replace("http://", "");
    let mut stream = TcpStream::connect(&caller).await.expect("connect");
    // The host may refuse the request and close before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = time::timeout(CLOSE_TIMEOUT, reading).await.expect("the host closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

fn problem(answer: &str) -> Problem {
    let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
    assert!(head.contains("application/problem+json"), "{answer}");
    let problem: Problem = serde_json::from_str(body).expect("problem");
    assert!(head.starts_with(&format!("HTTP/1.1 {} ", problem.status)), "{answer}");
    problem
}

fn request_head(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {CALLER_KEY}\r\n{more}\r\n"
    )
}

#[rstest]
#[case::unknown_path("GET", "/nowhere", "", 1005)]
#[case::wrong_method("DELETE", "/v1/hosts", "", 1004)]
#[case::unknown_service("GET", "/s/nothing/x", "", 1006)]
#[case::no_service_named("POST", "/v1/chat/completions", "content-length: 0\r\n", 1001)]
#[case::body_too_large("POST", "/s/control-pivotes/x", "content-length: 10001\r\n", 1003)]
#[case::invalid_deadline("GET", "/s/control-pivotes/x", "anvillift-deadline-ms: soon\r\n", 1001)]
#[case::empty_key(
    "POST",
    "/s/control-pivotes/x",
    "idempotency-key:\r\ncontent-length: 0\r\n",
    1001
)]
#[case::no_query("GET", "/v1/hosts", "", 1001)]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_head_is_refused_with_its_code(
    #[case] method: &str,
    #[case] path: &str,
    #[case] more: &str,
    #[case] code: u16,
) {
    let cluster = cluster().await;
    let problem = problem(&send_raw(&cluster, request_head(method, path, more).as_bytes()).await);
    assert_eq!(problem.code, code);
    assert_eq!(problem.outcome.to_string(), "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_above_the_limit_is_refused() {
    let cluster = cluster().await;
    let more = format!("x-large: {}\r\n", "x".repeat(40 * 1024));
    let answer =
        send_raw(&cluster, request_head("GET", "/s/control-pivotes/x", &more).as_bytes()).await;
    assert_eq!(problem(&answer).code, 1002);
    let more = format!("x-huge: {}\r\n", "x".repeat(1024 * 1024));
    let answer =
        send_raw(&cluster, request_head("GET", "/s/control-pivotes/x", &more).as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

#[rstest]
#[case::broken_json("{\"messages\": [")]
#[case::not_an_object("[1, 2]")]
#[case::wrong_types("{\"messages\": 7}")]
#[case::deep_nesting(&"[".repeat(5000))]
#[case::not_text("\u{0}\u{1}")]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_chat_body_is_refused(#[case] body: &str) {
    let cluster = cluster().await;
    let url = format!("{}/s/{MODEL}/v1/chat/completions", cluster.url("oriente-1"));
    let request = cluster.client.post(url).bearer_auth(CALLER_KEY).body(body.to_owned());
    let answer = request.send().await.expect("answer");
    assert_eq!(answer.status(), 400);
    assert_eq!(answer.json::<Problem>().await.expect("problem").code, 1001);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_above_the_limit_is_refused() {
    let cluster = cluster().await;
    let mut request =
        request_head("POST", &format!("/s/{PLAIN}/x"), "transfer-encoding: chunked\r\n")
            .into_bytes();
    for _ in 0..200 {
        request.extend_from_slice(b"64\r\n");
        request.extend_from_slice(&[b'x'; 100]);
        request.extend_from_slice(b"\r\n");
    }
    assert_eq!(problem(&send_raw(&cluster, &request).await).code, 1003);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_is_refused() {
    let cluster = cluster().await;
    let request =
        request_head("POST", &format!("/s/{PLAIN}/x"), "content-length: 100\r\n") + "slow";
    assert_eq!(problem(&send_raw(&cluster, request.as_bytes()).await).code, 1007);
    let started = time::Instant::now();
    send_raw(&cluster, b"GET / HTTP/1.1\r\nhost:").await;
    assert!(started.elapsed() < CLOSE_TIMEOUT);
}

#[rstest]
#[case::no_key(None, "/s/control-pivotes/x")]
#[case::wrong_key(Some("nobody"), "/s/control-pivotes/x")]
#[case::upstream_key_for_a_caller(Some(UPSTREAM_KEY), "/s/control-pivotes/x")]
#[case::operator_key_for_a_caller(Some(OPERATOR_KEY), "/s/control-pivotes/x")]
#[case::caller_key_for_an_operator(Some(CALLER_KEY), "/v1/operator/upstreams")]
#[case::upstream_key_for_an_operator(Some(UPSTREAM_KEY), "/v1/operator/hosts")]
#[case::no_key_for_the_directory(None, "/v1/hosts?service=control-pivotes")]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_valid_only_for_its_own_endpoints(#[case] key: Option<&str>, #[case] path: &str) {
    let cluster = cluster().await;
    let mut request = cluster.client.get(cluster.url("oriente-1") + path);
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let answer = request.send().await.expect("answer");
    assert_eq!(answer.status(), 401);
    assert_eq!(answer.json::<Problem>().await.expect("problem").code, 1101);
}

#[rstest]
#[case::caller_key(CALLER_KEY, "{}", 401)]
#[case::broken_json(UPSTREAM_KEY, "{", 400)]
#[case::missing_fields(UPSTREAM_KEY, "{}", 400)]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_announcement_is_refused(
    #[case] key: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let cluster = cluster().await;
    let url = cluster.url("oriente-1") + "/v1/upstreams/announce";
    let request = cluster.client.post(url).bearer_auth(key).body(body.to_owned());
    assert_eq!(request.send().await.expect("answer").status(), status);
}
