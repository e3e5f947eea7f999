//! Tests that a planned stop completes the requests in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvillift_bench::engine::EngineSettings;
use anvillift_bench::plain::PlainFaults;
use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;
use reqwest::{Method, Response};
use tokio::task::JoinHandle;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{MODEL, PLAIN};
use crate::support::stream::{self, StreamedAnswer};
use crate::support::upstreams;
use crate::support::wait;

/// Length of an answer that takes some seconds.
const LONG_ANSWER_TOKENS: u32 = 800;
/// Longest time until a draining host is removed from the directory; heartbeats are 500 ms apart.
const DIRECTORY_LIMIT: Duration = Duration::from_secs(2);
const COMMAND_MS: u64 = 2_000;

/// A streamed answer that a background task reads.
struct BackgroundStream {
    events: Arc<AtomicUsize>,
    task: JoinHandle<StreamedAnswer>,
}

impl BackgroundStream {
    fn start(answer: Response) -> Self {
        let events = Arc::new(AtomicUsize::new(0));
        let counted = events.clone();
        let on_data = move |count| counted.store(count, Ordering::SeqCst);
        let task = tokio::spawn(stream::read_with(answer, on_data));
        Self { events, task }
    }

    async fn wait_until_started(&self) {
        wait::until("the stream has started", async || self.events.load(Ordering::SeqCst) > 5)
            .await;
    }

    fn is_in_flight(&self) -> bool {
        self.events.load(Ordering::SeqCst) < LONG_ANSWER_TOKENS as usize
    }

    async fn assert_complete(self) {
        let streamed = self.task.await.expect("read");
        assert!(
            streamed.is_complete,
            "truncated after {} events: {:?}",
            streamed.events, streamed.error
        );
        assert_eq!(streamed.events, LONG_ANSWER_TOKENS as usize);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_callers_and_of_other_hosts_complete_during_a_planned_stop() {
    let mut cluster = Cluster::start().await;
    let engine =
        upstreams::start_engine(&cluster, "zacapa-a", MODEL, EngineSettings::default()).await;
    for host in ["oriente-1", "costa-sur-1"] {
        upstreams::wait_until_model_served(&cluster, host, MODEL).await;
    }
    let over_link = cluster.ask("costa-sur-1", MODEL, true, LONG_ANSWER_TOKENS).send().await;
    let over_link = over_link.expect("an answer");
    let route = cluster::route(&over_link);
    let draining = route.split(['>', '/']).nth(5).expect("a second host").to_owned();
    let own =
        cluster.ask(&draining, MODEL, true, LONG_ANSWER_TOKENS).send().await.expect("an answer");
    let (over_link, own) = (BackgroundStream::start(over_link), BackgroundStream::start(own));
    over_link.wait_until_started().await;
    own.wait_until_started().await;

    cluster.terminate(&draining);
    wait::within(DIRECTORY_LIMIT, "the host is not in the directory", async || {
        !cluster.directory("altiplano-1", MODEL).await.contains(&draining)
    })
    .await;
    assert_refused_with_other_hosts(&cluster, &draining).await;
    assert!(own.is_in_flight() && over_link.is_in_flight(), "the streams ended too early");
    own.assert_complete().await;
    over_link.assert_complete().await;
    assert_eq!(cluster.wait_for_exit(&draining).await, Some(0), "{}", cluster.log(&draining));
    engine.stop().await;
}

async fn assert_refused_with_other_hosts(cluster: &Cluster, draining: &str) {
    let answer = cluster.ask(draining, MODEL, true, 4).send().await.expect("an answer");
    let problem = cluster::problem(answer).await;
    assert_eq!((problem.code, problem.outcome), (Code::Draining.number(), Outcome::NotRun));
    assert!(!problem.hosts.is_empty() && !problem.hosts.contains(&cluster.url(draining)));
}

#[tokio::test(flavor = "multi_thread")]
async fn command_in_flight_is_answered_during_a_planned_stop() {
    let mut cluster = Cluster::start().await;
    let service = upstreams::start_plain(&cluster, "zacapa-a").await;
    upstreams::wait_until_plain_served(&cluster, "oriente-1").await;
    service.set_faults(PlainFaults { delay_ms: COMMAND_MS, ..PlainFaults::default() });
    let path = format!("/s/{PLAIN}/pivots/7/start");
    let request = cluster.request(Method::POST, "oriente-1", &path).body("{}");
    let command = tokio::spawn(request.send());
    wait::until("the command runs", async || service.report().runs.len() == 1).await;

    cluster.terminate("oriente-1");
    let answer = command.await.expect("sent").expect("an answer");
    assert_eq!(answer.status(), 200);
    let body: serde_json::Value = answer.json().await.expect("a complete answer");
    assert_eq!(body["run"], 1);
    assert_eq!(cluster.wait_for_exit("oriente-1").await, Some(0), "{}", cluster.log("oriente-1"));
    assert_eq!(service.report().runs.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_an_idle_host_exits_with_code_0() {
    let mut cluster = Cluster::start().await;
    cluster.terminate("altiplano-2");
    assert_eq!(
        cluster.wait_for_exit("altiplano-2").await,
        Some(0),
        "{}",
        cluster.log("altiplano-2")
    );
}
