//! Team limits, the retry budget and hedges.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::StatusCode;
use rstest::rstest;
use tokio::time::{self, Instant};

use crate::cluster::{Cluster, PLAIN};
use crate::fake_upstream::{FakeUpstream, ReceivedRequest, Responder};
use crate::wait;

const LIMIT_PER_S: u64 = 20;
const FLOOD_DURATION: Duration = Duration::from_secs(3);

async fn respond_ok(_request: ReceivedRequest, mut responder: Responder) -> Option<Responder> {
    responder.respond(200, "{}").await;
    Some(responder)
}

/// Closes the connection after the request, without an answer.
async fn close_connection(_request: ReceivedRequest, _responder: Responder) -> Option<Responder> {
    None
}

/// Sends requests to the hosts in turn for [`FLOOD_DURATION`]; returns the number of served and of
/// refused requests, and the time passed.
async fn flood(
    cluster: &Cluster,
    hosts: &[&str],
    path: &str,
    headers: &[(&str, &str)],
) -> (u64, u64, Duration) {
    let started = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while started.elapsed() < FLOOD_DURATION {
        for host in hosts {
            let request = headers.iter().fold(cluster.get(host, path), |request, (name, value)| {
                request.header(*name, *value)
            });
            let answer = request.send().await.expect("answer");
            match answer.status() {
                StatusCode::OK => served += 1,
                StatusCode::TOO_MANY_REQUESTS => {
                    assert!(answer.headers().contains_key("retry-after"));
                    assert_eq!(answer.headers()["anvillift-code"], "1301");
                    refused += 1;
                }
                other => panic!("status {other}"),
            }
        }
    }
    (served, refused, started.elapsed())
}

#[rstest]
#[case::without_hops(&[])]
#[case::with_hops_from_the_caller(&[("anvillift-hops", "nowhere")])]
#[tokio::test(flavor = "multi_thread")]
async fn a_team_limit_holds_across_all_hosts_of_a_data_centre(#[case] headers: &[(&str, &str)]) {
    let cluster = Cluster::start_with(2, |settings| {
        let teams = settings.configuration.teams.values_mut();
        teams.for_each(|team| team.requests_per_s_milli = LIMIT_PER_S * 1_000);
    })
    .await;
    let hosts = ["oriente-1", "oriente-2"];
    let _upstream = FakeUpstream::start(&cluster, &hosts, "p1", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    for host in hosts {
        cluster.wait_until_served(host, &path).await;
    }
    let (served, refused, elapsed) = flood(&cluster, &hosts, &path, headers).await;
    // The rate over the time with a tolerance of a tenth, and a burst of two seconds.
    let limit = LIMIT_PER_S as f64 * (elapsed.as_secs_f64() * 1.1 + 2.0);
    assert!(refused > served, "{served} served, {refused} refused");
    assert!((served as f64) <= limit, "{served} served, {limit} allowed");
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_when_every_attempt_fails() {
    let cluster = Cluster::start(1).await;
    let mut upstreams = Vec::new();
    for name in ["p1", "p2", "p3"] {
        upstreams.push(
            FakeUpstream::start(&cluster, &["oriente-1"], name, PLAIN, close_connection).await,
        );
    }
    let path = format!("/s/{PLAIN}/pivots/7");
    wait::until("the upstreams are in the view of the host", async || {
        let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
        answer.status() == StatusCode::BAD_GATEWAY
    })
    .await;
    let received = |upstream: &FakeUpstream| upstream.received().len();
    let before: usize = upstreams.iter().map(received).sum();
    let requests = 400;
    let mut failed = 0;
    for _ in 0..requests {
        let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
        failed += u64::from(answer.status() == StatusCode::BAD_GATEWAY);
    }
    let attempts = upstreams.iter().map(received).sum::<usize>() - before;
    // The budget is a tenth of the first attempts, and a burst of ten.
    assert!(attempts <= requests + requests / 10 + 10, "{attempts} attempts of {requests}");
    assert!(attempts > requests, "no attempt was retried");
    assert!(failed > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_stays_unknown_when_no_upstream_is_left_for_a_retry() {
    let cluster = Cluster::start(1).await;
    let upstream =
        FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, close_connection).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    let mut outcome = String::new();
    wait::until("the upstream has read a request", async || {
        let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
        outcome = answer.headers()["anvillift-outcome"].to_str().expect("text").to_owned();
        !upstream.received().is_empty()
    })
    .await;
    assert_eq!(outcome, "unknown");
}

/// Delay of each answer of the slow upstream.
const SLOW_ANSWER_DELAY: Duration = Duration::from_secs(8);
const WARM_UP_READS: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_read_is_hedged_if_the_profile_enables_it() {
    let cluster = Cluster::start_with(1, |settings| {
        let profiles = settings.configuration.profiles.values_mut();
        profiles.for_each(|profile| {
            profile.hedge = true;
            // Each read earns the retry that its hedge spends, also while a loaded machine hedges
            // the reads before. The budget itself is tested above.
            profile.retry_share_milli = 1_000;
        });
    })
    .await;
    let slow = Arc::new(AtomicBool::new(false));
    let is_slow = slow.clone();
    let answer = move |_, mut responder: Responder| {
        let is_slow = is_slow.clone();
        async move {
            if is_slow.load(Ordering::SeqCst) {
                time::sleep(SLOW_ANSWER_DELAY).await;
            }
            responder.respond(200, "{}").await;
            Some(responder)
        }
    };
    let _first = FakeUpstream::start(&cluster, &["oriente-1"], "p1", PLAIN, answer).await;
    let _second = FakeUpstream::start(&cluster, &["oriente-1"], "p2", PLAIN, respond_ok).await;
    let path = format!("/s/{PLAIN}/pivots/7");
    cluster.wait_until_served("oriente-1", &path).await;
    for _ in 0..WARM_UP_READS {
        cluster.wait_until_served("oriente-1", &path).await;
    }
    slow.store(true, Ordering::SeqCst);
    for _ in 0..8 {
        let started = Instant::now();
        let answer = cluster.get("oriente-1", &path).send().await.expect("answer");
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(
            started.elapsed() < SLOW_ANSWER_DELAY / 2,
            "the read was not hedged: it waited for the slow upstream"
        );
    }
}
