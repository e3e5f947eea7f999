//! Commands run at most once, whatever happens to hosts, links and upstreams.

use std::time::Duration;

use anvillift_bench::plain::{Fault, PlainMode, RunningPlain};
use anvillift_schema::public::Outcome;
use reqwest::{Method, RequestBuilder, StatusCode};
use rstest::rstest;
use tokio::time::{self, Instant};

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{ClusterSettings, PLAIN};
use crate::support::upstreams;
use crate::support::wait;

/// Path of the commands at the service.
const START: &str = "/pivots/7/start";
/// How long a key is asked for again after a fault.
const REPEATED: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);
/// Longer than the dispatch deadline of the test, shorter than an election.
const FROZEN: Duration = Duration::from_millis(700);

fn command(cluster: &Cluster, host: &str, key: &str) -> RequestBuilder {
    let request = cluster.request(Method::POST, host, &format!("/s/{PLAIN}{START}"));
    request.header("Idempotency-Key", key).body("{\"minutes\":30}")
}

/// Code and outcome of a command's answer; 0 and ran for the upstream's answer.
async fn outcome(cluster: &Cluster, host: &str, key: &str) -> Option<(u16, Outcome)> {
    let request = command(cluster, host, key).timeout(Duration::from_secs(3));
    let answer = request.send().await.ok()?;
    if answer.status() == StatusCode::OK {
        return Some((0, Outcome::Ran));
    }
    let problem = cluster::problem(answer).await;
    Some((problem.code, problem.outcome))
}

/// Waits until commands with new keys run through a host.
async fn served(cluster: &Cluster, host: &str, label: &str) {
    let mut tries = 0;
    wait::until(&format!("{host} runs commands"), async || {
        tries += 1;
        let key = format!("served-{label}-{host}-{tries}");
        outcome(cluster, host, &key).await == Some((0, Outcome::Ran))
    })
    .await;
}

async fn cluster_with_service() -> (Cluster, RunningPlain) {
    cluster_with(ClusterSettings::default()).await
}

async fn cluster_with(settings: ClusterSettings) -> (Cluster, RunningPlain) {
    let cluster = Cluster::start_with(settings).await;
    let service = upstreams::plain(&cluster, "zacapa-a").await;
    for host in ["oriente-1", "oriente-2", "altiplano-2"] {
        served(&cluster, host, "start").await;
    }
    (cluster, service)
}

fn runs(service: &RunningPlain, key: &str) -> usize {
    service.report().count(key, START)
}

/// What happens to the host that runs a command.
#[derive(Clone, Copy, Debug)]
enum Harm {
    Kill,
    Freeze,
    Cut,
}

#[rstest]
#[case::killed(Harm::Kill)]
#[case::frozen(Harm::Freeze)]
#[case::cut(Harm::Cut)]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_when_the_host_that_runs_it_is(#[case] harm: Harm) {
    let (mut cluster, service) = cluster_with_service().await;
    service.set_mode(PlainMode { delay_ms: 600, ..PlainMode::default() });
    let first = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    wait::until("the command runs", async || runs(&service, "k") == 1).await;
    match harm {
        Harm::Kill => cluster.kill("oriente-1"),
        Harm::Freeze => cluster.freeze("oriente-1"),
        Harm::Cut => cluster.isolate("oriente-1"),
    }
    let began = Instant::now();
    let mut last = None;
    while began.elapsed() < REPEATED {
        for host in ["oriente-2", "altiplano-2"] {
            last = outcome(&cluster, host, "k").await.or(last);
            assert_eq!(runs(&service, "k"), 1, "{last:?}");
        }
        time::sleep(PAUSE).await;
    }
    let (code, told) = last.expect("an answer");
    assert!(matches!(told, Outcome::Ran | Outcome::Unknown), "{code} {told}");
    match harm {
        Harm::Kill => cluster.restart("oriente-1").await,
        Harm::Freeze => cluster.thaw("oriente-1"),
        Harm::Cut => cluster.heal(),
    }
    for host in ["oriente-1", "oriente-2", "altiplano-1"] {
        served(&cluster, host, "after").await;
        let told = outcome(&cluster, host, "k").await.expect("an answer");
        assert_ne!(told.1, Outcome::NotRun);
    }
    assert_eq!(runs(&service, "k"), 1);
    first.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_through_two_hosts_at_once_runs_once() {
    let (cluster, service) = cluster_with_service().await;
    service.set_mode(PlainMode { delay_ms: 30, ..PlainMode::default() });
    for round in 0..20 {
        let key = format!("both-{round}");
        let (left, right) = tokio::join!(
            outcome(&cluster, "oriente-1", &key),
            outcome(&cluster, "altiplano-2", &key)
        );
        assert_eq!(runs(&service, &key), 1, "{left:?} {right:?}");
        let told = [left.expect("an answer"), right.expect("an answer")];
        assert!(told.contains(&(0, Outcome::Ran)), "{told:?}");
    }
}

#[rstest]
#[case::closes_as_it_arrives(Fault::CloseOnArrival, 0)]
#[case::runs_and_dies(Fault::RunThenClose, 1)]
#[case::cuts_its_answer(Fault::CutAnswer, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_command_is_not_sent_again_to_an_upstream_that(
    #[case] fault: Fault,
    #[case] expected_runs: usize,
) {
    let (cluster, service) = cluster_with_service().await;
    // Readings leave idle connections behind.
    for _ in 0..4 {
        upstreams::plain_served(&cluster, "oriente-1").await;
    }
    let before = service.report().commands_seen;
    service.set_mode(PlainMode { fault, ..PlainMode::default() });
    let told = outcome(&cluster, "oriente-1", "k").await.expect("an answer");
    assert_eq!(told.1, Outcome::Unknown, "{told:?}");
    assert_eq!(service.report().commands_seen, before + 1);
    service.set_mode(PlainMode::default());
    for host in ["oriente-1", "oriente-2", "altiplano-1"] {
        let told = outcome(&cluster, host, "k").await.expect("an answer");
        assert_eq!(told.1, Outcome::Unknown, "{told:?}");
    }
    assert_eq!(service.report().commands_seen, before + 1);
    assert_eq!(runs(&service, "k"), expected_runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_without_a_key_is_sent_once() {
    let (cluster, service) = cluster_with_service().await;
    for fault in [Fault::CloseOnArrival, Fault::RunThenClose] {
        let before = service.report().commands_seen;
        service.set_mode(PlainMode { fault, ..PlainMode::default() });
        let path = format!("/s/{PLAIN}{START}");
        let answer = cluster.request(Method::POST, "oriente-1", &path).body("{}").send().await;
        let problem = cluster::problem(answer.expect("an answer")).await;
        assert_eq!(problem.outcome, Outcome::Unknown);
        assert_eq!(service.report().commands_seen, before + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_frozen_between_reserving_and_sending_sends_nothing() {
    let sections = "[timing]\ndispatch_deadline_ms = 300\n".to_owned();
    let settings = ClusterSettings { sections, ..ClusterSettings::default() };
    let (mut cluster, service) = cluster_with(settings).await;
    // The reservation leaves the host, and its verdict waits on the way back.
    for other in ["oriente-2", "altiplano-1", "altiplano-2", "costa-sur-1", "costa-sur-2"] {
        cluster.cut(other, "oriente-1");
    }
    let asked = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    time::sleep(PAUSE).await;
    cluster.freeze("oriente-1");
    cluster.heal();
    time::sleep(FROZEN).await;
    assert_eq!(runs(&service, "k"), 0);
    cluster.thaw("oriente-1");
    let answer = asked.await.expect("asked").expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("Retry-After"));
    assert_eq!(cluster::problem(answer).await.outcome, Outcome::NotRun);
    time::sleep(FROZEN).await;
    assert_eq!(runs(&service, "k"), 0);
    wait::until("the key is free", async || {
        outcome(&cluster, "oriente-2", "k").await == Some((0, Outcome::Ran))
    })
    .await;
    assert_eq!(runs(&service, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_region_runs_commands_until_two_replicas_are_lost() {
    let (mut cluster, service) = cluster_with_service().await;
    cluster.isolate_region("oriente");
    served(&cluster, "oriente-1", "isolated").await;
    served(&cluster, "oriente-2", "isolated").await;
    cluster.kill("oriente-2");
    wait::until("commands are refused at once", async || {
        let began = Instant::now();
        let told = outcome(&cluster, "oriente-1", "refused").await;
        told == Some((1505, Outcome::NotRun)) && began.elapsed() < Duration::from_millis(300)
    })
    .await;
    let answer = command(&cluster, "oriente-1", "refused").send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("Retry-After"));
    assert_eq!(runs(&service, "refused"), 0);
    // A caller elsewhere is told the same.
    let told = outcome(&cluster, "altiplano-1", "refused").await.expect("an answer");
    assert_eq!(told, (1505, Outcome::NotRun));
    cluster.heal();
    served(&cluster, "oriente-1", "healed").await;
    assert_eq!(runs(&service, "refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_a_command() {
    let (mut cluster, service) = cluster_with_service().await;
    service.set_mode(PlainMode { delay_ms: 1_500, ..PlainMode::default() });
    let asked = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    wait::until("the command runs", async || runs(&service, "k") == 1).await;
    cluster.terminate("oriente-1");
    let answer = asked.await.expect("asked").expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(cluster.ended("oriente-1").await, Some(0));
    wait::until("the outcome is replayed", async || {
        outcome(&cluster, "oriente-2", "k").await == Some((0, Outcome::Ran))
    })
    .await;
    assert_eq!(runs(&service, "k"), 1);
}
