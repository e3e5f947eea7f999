//! A planned stop cuts off nothing in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvillift_bench::engine::EngineSettings;
use anvillift_bench::plain::PlainMode;
use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;
use reqwest::{Method, Response};
use tokio::task::JoinHandle;

use crate::support::cluster::{self, Cluster};
use crate::support::layout::{MODEL, PLAIN};
use crate::support::stream::{self, Streamed};
use crate::support::upstreams;
use crate::support::wait;

/// Tokens of an answer that lasts some seconds.
const LONG_TOKENS: u32 = 800;
/// A draining host is out of the directory at once: heartbeats are 500 ms apart.
const DIRECTORY_LIMIT: Duration = Duration::from_secs(2);
const COMMAND_MS: u64 = 2_000;

/// A stream that is read in the background.
struct Reading {
    events: Arc<AtomicUsize>,
    task: JoinHandle<Streamed>,
}

impl Reading {
    fn start(answer: Response) -> Self {
        let events = Arc::new(AtomicUsize::new(0));
        let counted = events.clone();
        let each = move |count| counted.store(count, Ordering::SeqCst);
        let task = tokio::spawn(stream::read_with(answer, each));
        Self { events, task }
    }

    async fn begun(&self) {
        wait::until("the stream has begun", async || self.events.load(Ordering::SeqCst) > 5).await;
    }

    fn in_flight(&self) -> bool {
        self.events.load(Ordering::SeqCst) < LONG_TOKENS as usize
    }

    async fn whole(self) {
        let streamed = self.task.await.expect("read");
        assert!(streamed.whole, "cut after {} events: {:?}", streamed.events, streamed.error);
        assert_eq!(streamed.events, LONG_TOKENS as usize);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_on_the_host_and_on_its_links_end_whole() {
    let mut cluster = Cluster::start().await;
    let engine = upstreams::engine(&cluster, "zacapa-a", MODEL, EngineSettings::default()).await;
    for host in ["oriente-1", "costa-sur-1"] {
        upstreams::model_served(&cluster, host, MODEL).await;
    }
    let over_link = cluster.ask("costa-sur-1", MODEL, true, LONG_TOKENS).send().await;
    let over_link = over_link.expect("an answer");
    let route = cluster::route(&over_link);
    let draining = route.split(['>', '/']).nth(5).expect("a second host").to_owned();
    let own = cluster.ask(&draining, MODEL, true, LONG_TOKENS).send().await.expect("an answer");
    let (over_link, own) = (Reading::start(over_link), Reading::start(own));
    over_link.begun().await;
    own.begun().await;

    cluster.terminate(&draining);
    wait::within(DIRECTORY_LIMIT, "the host is out of the directory", async || {
        !cluster.directory("altiplano-1", MODEL).await.contains(&draining)
    })
    .await;
    refused_with_where_to_go(&cluster, &draining).await;
    assert!(own.in_flight() && over_link.in_flight(), "the streams ended too early");
    own.whole().await;
    over_link.whole().await;
    assert_eq!(cluster.ended(&draining).await, Some(0), "{}", cluster.log(&draining));
    engine.stop().await;
}

async fn refused_with_where_to_go(cluster: &Cluster, draining: &str) {
    let answer = cluster.ask(draining, MODEL, true, 4).send().await.expect("an answer");
    let problem = cluster::problem(answer).await;
    assert_eq!((problem.code, problem.outcome), (Code::Draining.number(), Outcome::NotRun));
    assert!(!problem.hosts.is_empty() && !problem.hosts.contains(&cluster.url(draining)));
}

#[tokio::test(flavor = "multi_thread")]
async fn command_in_flight_is_answered() {
    let mut cluster = Cluster::start().await;
    let service = upstreams::plain(&cluster, "zacapa-a").await;
    upstreams::plain_served(&cluster, "oriente-1").await;
    service.set_mode(PlainMode { delay_ms: COMMAND_MS, ..PlainMode::default() });
    let path = format!("/s/{PLAIN}/pivots/7/start");
    let request = cluster.request(Method::POST, "oriente-1", &path).body("{}");
    let command = tokio::spawn(request.send());
    wait::until("the command runs", async || service.report().runs.len() == 1).await;

    cluster.terminate("oriente-1");
    let answer = command.await.expect("sent").expect("an answer");
    assert_eq!(answer.status(), 200);
    let body: serde_json::Value = answer.json().await.expect("a whole answer");
    assert_eq!(body["run"], 1);
    assert_eq!(cluster.ended("oriente-1").await, Some(0), "{}", cluster.log("oriente-1"));
    assert_eq!(service.report().runs.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_host_stops_with_exit_code_0() {
    let mut cluster = Cluster::start().await;
    cluster.terminate("altiplano-2");
    assert_eq!(cluster.ended("altiplano-2").await, Some(0), "{}", cluster.log("altiplano-2"));
}
