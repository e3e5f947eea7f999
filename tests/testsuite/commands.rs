//! Tests that commands run at most once despite failures of hosts, links and upstreams.

use std::cell::Cell;
use std::time::Duration;

use anvillift_bench::plain::{Fault, PlainFaults, RunningPlain};
use anvillift_schema::public::Outcome;
use reqwest::{Method, RequestBuilder, StatusCode};
use rstest::rstest;
use tokio::time::{self, Instant};

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{ClusterSettings, PLAIN};
use crate::support::upstreams;
use crate::support::wait;

/// Path of a command at the plain service.
const START_PATH: &str = "/pivots/7/start";
/// Period in which a command is repeated under the same key after a failure.
const RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Requests in flight while a host runs one command: that of the caller, and the command itself.
const CALLER_AND_COMMAND: u32 = 2;
const PAUSE: Duration = Duration::from_millis(100);
/// Answer to a command while the ledger has no leader.
const LEDGER_UNAVAILABLE: (u16, Outcome) = (1505, Outcome::Unknown);
/// Duration for which a host is frozen, which is longer than the dispatch deadline of the test and
/// shorter than an election.
const FREEZE_DURATION: Duration = Duration::from_millis(700);

fn command(cluster: &Cluster, host: &str, key: &str) -> RequestBuilder {
    let request = cluster.request(Method::POST, host, &format!("/s/{PLAIN}{START_PATH}"));
    request.header("Idempotency-Key", key).body("{\"minutes\":30}")
}

/// Sends a command, and returns the result code and outcome of its answer: 0 and `Ran` for an
/// answer of the upstream, `None` without an answer.
async fn send_command(cluster: &Cluster, host: &str, key: &str) -> Option<(u16, Outcome)> {
    let request = command(cluster, host, key).timeout(Duration::from_secs(3));
    let answer = request.send().await.ok()?;
    if answer.status() == StatusCode::OK {
        return Some((0, Outcome::Ran));
    }
    let problem = cluster::problem(answer).await;
    Some((problem.code, problem.outcome))
}

/// Waits until a command with a new key, sent through a host, runs.
async fn wait_until_commands_run(cluster: &Cluster, host: &str, label: &str) {
    let mut attempts = 0;
    wait::until(&format!("{host} runs commands"), async || {
        attempts += 1;
        let key = format!("served-{label}-{host}-{attempts}");
        send_command(cluster, host, &key).await == Some((0, Outcome::Ran))
    })
    .await;
}

async fn cluster_with_service() -> (Cluster, RunningPlain) {
    cluster_with(ClusterSettings::default()).await
}

async fn cluster_with(settings: ClusterSettings) -> (Cluster, RunningPlain) {
    let cluster = Cluster::start_with(settings).await;
    let service = upstreams::start_plain(&cluster, "zacapa-a").await;
    for host in ["oriente-1", "oriente-2", "altiplano-2"] {
        wait_until_commands_run(&cluster, host, "start").await;
    }
    (cluster, service)
}

fn count_runs(service: &RunningPlain, key: &str) -> usize {
    service.report().run_count(key, START_PATH)
}

/// Requests that a host counts as in flight, from its metrics.
async fn requests_in_flight(cluster: &Cluster, host: &str) -> Option<u32> {
    let request = cluster.request(Method::GET, host, "/metrics");
    let page = request.send().await.ok()?.text().await.ok()?;
    let line = page.lines().find(|line| line.starts_with("anvillift_requests_in_flight "))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// A failure of the host that executes a command.
#[derive(Clone, Copy, Debug)]
enum HostFailure {
    Kill,
    Freeze,
    Isolate,
}

#[rstest]
#[case::killed(HostFailure::Kill)]
#[case::frozen(HostFailure::Freeze)]
#[case::isolated(HostFailure::Isolate)]
#[tokio::test(flavor = "multi_thread")]
async fn command_runs_once_when_its_host_fails(#[case] failure: HostFailure) {
    let (mut cluster, service) = cluster_with_service().await;
    service.set_faults(PlainFaults { delay_ms: 600, ..PlainFaults::default() });
    let first = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    wait::until("the command runs", async || count_runs(&service, "k") == 1).await;
    match failure {
        HostFailure::Kill => cluster.kill("oriente-1"),
        HostFailure::Freeze => cluster.freeze("oriente-1"),
        HostFailure::Isolate => cluster.isolate("oriente-1"),
    }
    let began = Instant::now();
    let mut last = None;
    while began.elapsed() < RETRY_PERIOD {
        for host in ["oriente-2", "altiplano-2"] {
            last = send_command(&cluster, host, "k").await.or(last);
            assert_eq!(count_runs(&service, "k"), 1, "{last:?}");
        }
        time::sleep(PAUSE).await;
    }
    let (code, last_outcome) = last.expect("an answer");
    assert!(matches!(last_outcome, Outcome::Ran | Outcome::Unknown), "{code} {last_outcome}");
    match failure {
        HostFailure::Kill => cluster.restart("oriente-1").await,
        HostFailure::Freeze => cluster.thaw("oriente-1"),
        HostFailure::Isolate => cluster.heal(),
    }
    for host in ["oriente-1", "oriente-2", "altiplano-1"] {
        wait_until_commands_run(&cluster, host, "after").await;
        let result = send_command(&cluster, host, "k").await.expect("an answer");
        assert_ne!(result.1, Outcome::NotRun, "{host}: {result:?}");
    }
    assert_eq!(count_runs(&service, "k"), 1);
    first.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn command_sent_through_two_hosts_at_once_runs_once() {
    let (cluster, service) = cluster_with_service().await;
    service.set_faults(PlainFaults { delay_ms: 30, ..PlainFaults::default() });
    for round in 0..20 {
        let key = format!("both-{round}");
        let mut result = send_through_both(&cluster, &key).await;
        let began = Instant::now();
        // Without a leader of the ledger neither host runs the command, and both say so.
        while result == [LEDGER_UNAVAILABLE; 2] && began.elapsed() < RETRY_PERIOD {
            assert_eq!(count_runs(&service, &key), 0, "{result:?}");
            time::sleep(PAUSE).await;
            result = send_through_both(&cluster, &key).await;
        }
        assert_eq!(count_runs(&service, &key), 1, "{result:?}");
        assert!(result.contains(&(0, Outcome::Ran)), "{result:?}");
    }
}

/// Sends a command through two hosts at once.
async fn send_through_both(cluster: &Cluster, key: &str) -> [(u16, Outcome); 2] {
    let (left, right) = tokio::join!(
        send_command(cluster, "oriente-1", key),
        send_command(cluster, "altiplano-2", key)
    );
    [left.expect("an answer"), right.expect("an answer")]
}

/// Two hosts send a command at once while the ledger has no leader, since two of its
/// three voters are frozen. Both refuse, nothing runs, and the command runs once later.
#[tokio::test(flavor = "multi_thread")]
async fn command_sent_through_two_hosts_without_a_leader_runs_once_later() {
    let (mut cluster, service) = cluster_with_service().await;
    for host in ["oriente-2", "altiplano-1"] {
        cluster.freeze(host);
    }
    // Until then altiplano-2 may choose the frozen host to run the command, and gets no answer
    // before the link to it is closed.
    wait::until("altiplano-2 no longer lists the frozen host", async || {
        let hosts = cluster.directory("altiplano-2", PLAIN).await;
        !hosts.is_empty() && !hosts.contains(&"oriente-2".to_owned())
    })
    .await;
    let refused = Cell::new(0);
    wait::until("both hosts refuse", async || {
        refused.set(refused.get() + 1);
        let key = format!("leaderless-{}", refused.get());
        send_through_both(&cluster, &key).await == [LEDGER_UNAVAILABLE; 2]
    })
    .await;
    let key = format!("leaderless-{}", refused.get());
    assert_eq!(count_runs(&service, &key), 0);
    for host in ["oriente-2", "altiplano-1"] {
        cluster.thaw(host);
    }
    wait::until("the command runs", async || {
        send_through_both(&cluster, &key).await.contains(&(0, Outcome::Ran))
    })
    .await;
    assert_eq!(count_runs(&service, &key), 1);
}

#[rstest]
#[case::closed_on_arrival(Fault::CloseOnArrival, 0)]
#[case::closed_after_the_run(Fault::RunThenClose, 1)]
#[case::truncated_answer(Fault::CutAnswer, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn command_is_not_resent_after_an_upstream_failure(
    #[case] fault: Fault,
    #[case] expected_runs: usize,
) {
    let (cluster, service) = cluster_with_service().await;
    // GET requests leave idle upstream connections, on which the command may be sent.
    for _ in 0..4 {
        upstreams::wait_until_plain_served(&cluster, "oriente-1").await;
    }
    let before = service.report().commands_seen;
    service.set_faults(PlainFaults { fault, ..PlainFaults::default() });
    let result = send_command(&cluster, "oriente-1", "k").await.expect("an answer");
    assert_eq!(result.1, Outcome::Unknown, "{result:?}");
    assert_eq!(service.report().commands_seen, before + 1);
    service.set_faults(PlainFaults::default());
    for host in ["oriente-1", "oriente-2", "altiplano-1"] {
        let result = send_command(&cluster, host, "k").await.expect("an answer");
        assert_eq!(result.1, Outcome::Unknown, "{result:?}");
    }
    assert_eq!(service.report().commands_seen, before + 1);
    assert_eq!(count_runs(&service, "k"), expected_runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn command_without_a_key_is_sent_once() {
    let (cluster, service) = cluster_with_service().await;
    for fault in [Fault::CloseOnArrival, Fault::RunThenClose] {
        let before = service.report().commands_seen;
        service.set_faults(PlainFaults { fault, ..PlainFaults::default() });
        let path = format!("/s/{PLAIN}{START_PATH}");
        let answer = cluster.request(Method::POST, "oriente-1", &path).body("{}").send().await;
        let problem = cluster::problem(answer.expect("an answer")).await;
        assert_eq!(problem.outcome, Outcome::Unknown);
        assert_eq!(service.report().commands_seen, before + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn host_frozen_between_reservation_and_dispatch_sends_nothing() {
    // With the default election timeout of 1 s, a proposal may time out before the host is resumed,
    // and another host may become the leader. Then the outcome is unknown.
    let sections = "[timing]\ndispatch_deadline_ms = 300\nelection_timeout_ms = 5000\n\
                    silent_after_ms = 10000\n"
        .to_owned();
    let settings = ClusterSettings { sections, ..ClusterSettings::default() };
    let (mut cluster, service) = cluster_with(settings).await;
    // The reservation request leaves the host, but the cut holds back the answer to it.
    for other in ["oriente-2", "altiplano-1", "altiplano-2", "costa-sur-1", "costa-sur-2"] {
        cluster.cut(other, "oriente-1");
    }
    let request = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    wait::until("the host has started to reserve the key", async || {
        requests_in_flight(&cluster, "oriente-1").await == Some(CALLER_AND_COMMAND)
    })
    .await;
    time::sleep(PAUSE).await;
    cluster.freeze("oriente-1");
    cluster.heal();
    time::sleep(FREEZE_DURATION).await;
    assert_eq!(count_runs(&service, "k"), 0);
    cluster.thaw("oriente-1");
    let answer = request.await.expect("sent").expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("Retry-After"));
    assert_eq!(cluster::problem(answer).await.outcome, Outcome::NotRun);
    time::sleep(FREEZE_DURATION).await;
    assert_eq!(count_runs(&service, "k"), 0);
    wait::until("the key can be used again", async || {
        send_command(&cluster, "oriente-2", "k").await == Some((0, Outcome::Ran))
    })
    .await;
    assert_eq!(count_runs(&service, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_region_runs_commands_until_two_replicas_are_lost() {
    let (mut cluster, service) = cluster_with_service().await;
    cluster.isolate_region("oriente");
    wait_until_commands_run(&cluster, "oriente-1", "isolated").await;
    wait_until_commands_run(&cluster, "oriente-2", "isolated").await;
    cluster.kill("oriente-2");
    wait::until("commands are refused at once", async || {
        let began = Instant::now();
        let result = send_command(&cluster, "oriente-1", "refused").await;
        result == Some((1505, Outcome::Unknown)) && began.elapsed() < Duration::from_millis(300)
    })
    .await;
    let answer = command(&cluster, "oriente-1", "refused").send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("Retry-After"));
    let detail = cluster::problem(answer).await.detail.unwrap_or_default();
    assert!(detail.starts_with("this request was not sent"), "{detail}");
    assert_eq!(count_runs(&service, "refused"), 0);
    // Callers in other regions get the same answer.
    let result = send_command(&cluster, "altiplano-1", "refused").await.expect("an answer");
    assert_eq!(result, (1505, Outcome::Unknown));
    cluster.heal();
    wait_until_commands_run(&cluster, "oriente-1", "healed").await;
    assert_eq!(count_runs(&service, "refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_a_command_in_flight() {
    let (mut cluster, service) = cluster_with_service().await;
    service.set_faults(PlainFaults { delay_ms: 1_500, ..PlainFaults::default() });
    let request = tokio::spawn(command(&cluster, "oriente-1", "k").send());
    wait::until("the command runs", async || count_runs(&service, "k") == 1).await;
    cluster.terminate("oriente-1");
    let answer = request.await.expect("sent").expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(cluster.wait_for_exit("oriente-1").await, Some(0));
    wait::until("the outcome is replayed", async || {
        send_command(&cluster, "oriente-2", "k").await == Some((0, Outcome::Ran))
    })
    .await;
    assert_eq!(count_runs(&service, "k"), 1);
}

/// Time for which the disk of a host is full. It is longer than an election.
const FULL_DISK_DURATION: Duration = Duration::from_secs(3);

/// Guards against a ledger that has no majority any more once the disks of its hosts have been full
/// one after another, and against one that forgets commands meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn commands_run_once_after_disks_were_full_one_after_another() {
    let settings = ClusterSettings { disks: 5, ..ClusterSettings::default() };
    let (cluster, service) = cluster_with(settings).await;
    wait_until_commands_run(&cluster, "costa-sur-1", "before").await;
    for host in ["oriente-1", "oriente-2", "altiplano-1"] {
        cluster.hosts[host].fill_disk();
        wait_until_commands_run(&cluster, "costa-sur-1", host).await;
        time::sleep(FULL_DISK_DURATION).await;
        cluster.hosts[host].free_disk();
    }
    for host in ["oriente-1", "oriente-2", "costa-sur-1"] {
        wait_until_commands_run(&cluster, host, "after").await;
    }
    for host in ["oriente-1", "costa-sur-1"] {
        let repeated = send_command(&cluster, host, "served-before-costa-sur-1-1").await;
        assert_ne!(repeated, None, "{host}");
    }
    assert!(count_runs(&service, "served-before-costa-sur-1-1") <= 1);
}
