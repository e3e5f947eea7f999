//! Commands with idempotency keys, through the ledgers of three regions.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvillift_schema::name::Name;
use anvillift_schema::public::{Outcome, Problem};
use anvillift_schema::settings::GroupSettings;
use reqwest::{RequestBuilder, Response, StatusCode};
use tokio::time;

use crate::cluster::{CALLER_KEY, Cluster, PLAIN};
use crate::fake_upstream::{FakeUpstream, Responder, SeenRequest};
use crate::wait;

const HOME: &str = "oriente";
const VOTERS: [&str; 3] = ["oriente-1", "oriente-2", "costa-sur-1"];
const START: &str = "/s/control-pivotes/pivots/7/start";

/// Three regions of two hosts; the ledger of oriente has two replicas there.
async fn cluster() -> Cluster {
    Cluster::start_with(2, |settings| {
        let voters = VOTERS.into_iter().map(Name::from).collect();
        settings.ledgers.insert(Name::from(HOME), GroupSettings { voters });
        settings.timing.election_timeout_ms = 300;
    })
    .await
}

fn command(cluster: &Cluster, host: &str, key: &str) -> RequestBuilder {
    let request = cluster.client.post(cluster.url(host) + START).bearer_auth(CALLER_KEY);
    request.header("idempotency-key", key).body("{\"minutes\": 30}")
}

async fn problem(answer: Response) -> Problem {
    answer.json().await.expect("a problem")
}

/// Runs commands with new keys until one is answered by the upstream.
async fn ready(cluster: &Cluster, host: &str) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    wait::until("commands run", async || {
        let key = format!("warm-up-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        command(cluster, host, &key).send().await.expect("answer").status() == 200
    })
    .await;
}

fn runs(upstream: &FakeUpstream, key: &str) -> usize {
    let seen = upstream.seen();
    seen.iter().filter(|request| request.header("idempotency-key") == Some(key)).count()
}

async fn started(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    responder.whole(200, "{\"state\":\"started\"}").await;
    Some(responder)
}

async fn slow(_request: SeenRequest, mut responder: Responder) -> Option<Responder> {
    time::sleep(Duration::from_millis(400)).await;
    responder.whole(200, "{\"state\":\"started\"}").await;
    Some(responder)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_first_answer_through_any_host() {
    let cluster = cluster().await;
    let upstream =
        FakeUpstream::start(&cluster, &["oriente-1", "oriente-2"], "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    for host in ["oriente-1", "oriente-2", "costa-sur-1", "altiplano-2", "oriente-1"] {
        let answer = command(&cluster, host, "start-7").send().await.expect("answer");
        assert_eq!(answer.status(), StatusCode::OK, "{host}");
        assert_eq!(answer.headers()["anvillift-outcome"], "ran");
        assert_eq!(answer.headers()["content-type"], "application/json");
        assert_eq!(answer.text().await.expect("body"), "{\"state\":\"started\"}");
    }
    assert_eq!(runs(&upstream, "start-7"), 1);
    let seen = upstream.seen();
    assert!(seen.iter().all(|request| request.header("anvillift-key-hash").is_some()));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_through_many_hosts_at_once_runs_once() {
    let cluster = Arc::new(cluster().await);
    let upstream =
        FakeUpstream::start(&cluster, &["oriente-1", "oriente-2"], "p1", PLAIN, slow).await;
    ready(&cluster, "oriente-1").await;
    for round in 0..5 {
        let key = format!("at-once-{round}");
        let hosts = ["oriente-1", "oriente-2", "costa-sur-1", "altiplano-1"];
        let asked = hosts.map(|host| {
            let (cluster, key) = (cluster.clone(), key.clone());
            tokio::spawn(async move {
                command(&cluster, host, &key).send().await.expect("answer").status()
            })
        });
        let mut statuses = Vec::new();
        for answer in asked {
            statuses.push(answer.await.expect("task"));
        }
        assert_eq!(runs(&upstream, &key), 1, "{statuses:?}");
        assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
        assert!(statuses.iter().all(|status| [200, 409].contains(&status.as_u16())));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_body_under_the_same_key_is_refused() {
    let cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    command(&cluster, "oriente-1", "k").send().await.expect("answer");
    let other = command(&cluster, "oriente-2", "k").body("{\"minutes\": 60}");
    let answer = other.send().await.expect("answer");
    assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(problem(answer).await.outcome, Outcome::NotRun);
    assert_eq!(runs(&upstream, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_broke_off_is_unknown_and_never_run_again() {
    async fn breaking(request: SeenRequest, mut responder: Responder) -> Option<Responder> {
        if request.header("idempotency-key").is_some_and(|key| key.starts_with("broken")) {
            return None;
        }
        responder.whole(200, "{}").await;
        Some(responder)
    }
    let cluster = cluster().await;
    let hosts = ["oriente-1", "oriente-2"];
    let first = FakeUpstream::start(&cluster, &hosts, "p1", PLAIN, breaking).await;
    let second = FakeUpstream::start(&cluster, &hosts, "p2", PLAIN, breaking).await;
    ready(&cluster, "oriente-1").await;
    for host in ["oriente-1", "oriente-2", "costa-sur-2", "oriente-1"] {
        let answer = command(&cluster, host, "broken-1").send().await.expect("answer");
        assert_ne!(answer.status(), StatusCode::OK);
        assert_eq!(problem(answer).await.outcome, Outcome::Unknown);
        assert_eq!(runs(&first, "broken-1") + runs(&second, "broken-1"), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_never_meets_a_pooled_connection_that_is_being_closed() {
    /// Closes a connection just as a second request arrives on it.
    async fn closing(request: SeenRequest, mut responder: Responder) -> Option<Responder> {
        if request.earlier > 0 {
            return None;
        }
        responder.whole(200, "{}").await;
        Some(responder)
    }
    let cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, closing).await;
    ready(&cluster, "oriente-1").await;
    for round in 0..10 {
        // A reading leaves an idle connection behind.
        cluster.served("oriente-1", &format!("/s/{PLAIN}/pivots/7")).await;
        let key = format!("pooled-{round}");
        let answer = command(&cluster, "oriente-1", &key).send().await.expect("answer");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(runs(&upstream, &key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_is_not_run_and_leaves_the_key_free() {
    let cluster = cluster().await;
    let hosts = ["oriente-1", "oriente-2"];
    let upstream = FakeUpstream::start(&cluster, &hosts, "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    let url = upstream.url();
    upstream.change(|announcement| {
        announcement.url = "http://127.0.0.1:9".to_owned();
    });
    let mut tries = 0;
    wait::until("the new address is known", async || {
        tries += 1;
        let key = format!("refused-{tries}");
        let answer = command(&cluster, "oriente-1", &key).send().await.expect("answer");
        answer.status() == StatusCode::BAD_GATEWAY
            && problem(answer).await.outcome == Outcome::NotRun
    })
    .await;
    let answer = command(&cluster, "oriente-1", "free").send().await.expect("answer");
    assert_eq!(problem(answer).await.outcome, Outcome::NotRun);
    upstream.change(|announcement| announcement.url = url);
    wait::until("the key runs", async || {
        let answer = command(&cluster, "oriente-2", "free").send().await.expect("answer");
        answer.status() == StatusCode::OK
    })
    .await;
    assert_eq!(runs(&upstream, "free"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_without_a_home_or_past_retention_is_refused() {
    let cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    let nowhere = command(&cluster, "oriente-1", "k").header("anvillift-home", "nowhere");
    assert_eq!(nowhere.send().await.expect("answer").status(), StatusCode::BAD_REQUEST);
    let old = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_600_000_000, 0));
    let answer = command(&cluster, "oriente-1", &old.to_string()).send().await.expect("answer");
    assert_eq!(answer.status(), StatusCode::GONE);
    assert_eq!(problem(answer).await.outcome, Outcome::NotRun);
    assert_eq!(runs(&upstream, &old.to_string()), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_two_replicas_commands_are_refused_as_not_run() {
    let mut cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    cluster.running.remove("costa-sur-1").expect("host").stop();
    ready(&cluster, "oriente-1").await;
    cluster.running.remove("oriente-2").expect("host").stop();
    wait::until("the ledger has no leader", async || {
        let begun = time::Instant::now();
        let answer = command(&cluster, "oriente-1", "refused").send().await.expect("answer");
        let quick = begun.elapsed() < Duration::from_millis(200);
        quick && answer.status() == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let answer = command(&cluster, "oriente-1", "refused").send().await.expect("answer");
    assert!(answer.headers().contains_key("retry-after"));
    let problem = problem(answer).await;
    assert_eq!((problem.code, problem.outcome), (1505, Outcome::NotRun));
    assert_eq!(runs(&upstream, "refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_leaves_its_key_unknown() {
    async fn hanging(request: SeenRequest, mut responder: Responder) -> Option<Responder> {
        if request.header("idempotency-key") == Some("hangs") {
            responder.closed().await;
            return None;
        }
        responder.whole(200, "{}").await;
        Some(responder)
    }
    let mut cluster = cluster().await;
    let hosts = ["oriente-1", "oriente-2"];
    let upstream = FakeUpstream::start(&cluster, &hosts, "p1", PLAIN, hanging).await;
    ready(&cluster, "oriente-1").await;
    ready(&cluster, "oriente-2").await;
    let asked = tokio::spawn(command(&cluster, "oriente-2", "hangs").send());
    wait::until("the command runs", async || runs(&upstream, "hangs") == 1).await;
    cluster.running.remove("oriente-2").expect("host").stop();
    asked.abort();
    wait::until("the key is unknown", async || {
        let answer = command(&cluster, "oriente-1", "hangs").send().await.expect("answer");
        let problem = problem(answer).await;
        assert_ne!(problem.outcome, Outcome::Ran);
        problem.code == 1501 && problem.outcome == Outcome::Unknown
    })
    .await;
    assert_eq!(runs(&upstream, "hangs"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_does_not_end_its_command() {
    let cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, slow).await;
    ready(&cluster, "oriente-1").await;
    let left =
        time::timeout(Duration::from_millis(150), command(&cluster, "oriente-1", "left").send());
    assert!(left.await.is_err());
    wait::until("the answer is kept", async || {
        let answer = command(&cluster, "oriente-2", "left").send().await.expect("answer");
        answer.status() == StatusCode::OK
    })
    .await;
    assert_eq!(runs(&upstream, "left"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_leaves_its_region_when_only_another_has_upstreams() {
    let cluster = cluster().await;
    let upstream = FakeUpstream::start(&cluster, &["costa-sur-1"], "p1", PLAIN, started).await;
    ready(&cluster, "oriente-1").await;
    ready(&cluster, "oriente-2").await;
    for host in ["oriente-1", "oriente-2", "oriente-1"] {
        let answer = command(&cluster, host, "away").send().await.expect("answer");
        let status = answer.status();
        let text = answer.text().await.expect("body");
        assert_eq!(status, StatusCode::OK, "{host}: {text}");
    }
    assert_eq!(runs(&upstream, "away"), 1);
}
