//! Load tool: plans, open-loop sending, relays and experiment files.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anvillift_bench::fleet::relay::{self, LinkDirection, LinkDirectionSettings};
use anvillift_bench::load::caller::{Caller, TokenCounter};
use anvillift_bench::load::drive::{self, DriveSettings};
use anvillift_bench::load::experiment::Experiment;
use anvillift_bench::load::{experiment_file, plan, text};
use anvillift_bench::plain::{self, PlainFaults, PlainSettings};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

fn example(name: &str) -> Experiment {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    experiment_file::read(&examples.join(name)).unwrap()
}

#[rstest]
#[case("zacapa-load.ini")]
#[case("triplice-cura-load.ini")]
fn a_seed_determines_the_plan_and_the_rate_is_as_configured(#[case] file: &str) {
    let experiment = example(file);
    let first = plan::arrivals(&experiment, 7);
    let again = plan::arrivals(&experiment, 7);
    let other = plan::arrivals(&experiment, 8);
    let times = |plan: &[anvillift_bench::load::arrival::Arrival]| {
        plan.iter().map(|arrival| (arrival.at, arrival.history)).collect::<Vec<_>>()
    };
    assert_eq!(times(&first), times(&again));
    assert_ne!(times(&first), times(&other));
    assert!(first.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let expected: f64 = experiment.classes.iter().map(|c| experiment.rate_per_s(c)).sum::<f64>()
        * (experiment.warm_up_s + experiment.duration_s) as f64;
    let planned = first.len() as f64;
    assert!(
        (planned - expected).abs() < 5.0 * expected.sqrt(),
        "{planned} requests planned, {expected} expected"
    );
}

#[test]
fn prompts_with_one_history_share_only_its_text() {
    let experiment = example("zacapa-load.ini");
    let mut arrival = plan::arrivals(&experiment, 7)
        .into_iter()
        .find(|arrival| arrival.history_tokens > 0)
        .unwrap();
    let one = text::prompt(&arrival);
    arrival.number += 1;
    let two = text::prompt(&arrival);
    let history_bytes = (arrival.history_tokens * 4) as usize;
    assert_eq!(one[..history_bytes], two[..history_bytes]);
    assert_ne!(one[history_bytes..], two[history_bytes..]);
}

#[tokio::test]
async fn late_answers_do_not_delay_later_requests() {
    let faults = PlainFaults { delay_ms: 400, ..PlainFaults::default() };
    let service = plain::start(PlainSettings { faults, ..Default::default() }).await.unwrap();
    let mut experiment = example("zacapa-load.ini");
    experiment.classes.retain(|class| class.name.as_str() == "reading");
    experiment.classes[0].rate_milli_per_s = 100_000;
    experiment.warm_up_s = 0;
    experiment.duration_s = 1;
    let url = format!("http://{}", service.addr);
    let regions = experiment.regions.iter().map(|region| region.name.clone());
    let settings = DriveSettings {
        hosts: regions.map(|region| (region, vec![url.clone()])).collect(),
        caller: Caller::new("key").unwrap(),
        warm_up: Duration::ZERO,
        first_token_target_ms: BTreeMap::new(),
        on_answer: Box::new(|_, _| {}),
    };
    let plan = plan::arrivals(&experiment, 3);
    let count = plan.len() as u64;
    let started = Instant::now();
    let tally = drive::drive(settings, plan).await;
    // Sent one after another, about 100 requests of 400 ms each would take 40 s.
    assert!(started.elapsed() < Duration::from_secs(10));
    assert_eq!(tally.total().complete, count);
    assert!(tally.total().first_token.percentile_ms(1.0) >= 399.0);
    service.stop().await;
}

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn round_trip(addr: SocketAddr, bytes: usize) -> Duration {
    let started = Instant::now();
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let (mut read, mut write) = stream.split();
    let sent = vec![7; bytes];
    let mut received_bytes = vec![0; bytes];
    let (written, received) =
        tokio::join!(write.write_all(&sent), read.read_exact(&mut received_bytes));
    written.unwrap();
    received.unwrap();
    assert_eq!(sent, received_bytes);
    started.elapsed()
}

#[tokio::test]
async fn a_relay_adds_delay_and_limits_the_rate() {
    let target = start_echo_server().await;
    let delayed = LinkDirectionSettings { delay_ms: 50, rate_bytes_per_s: 0 };
    let forward = Arc::new(LinkDirection::new(delayed.clone()));
    let backward = Arc::new(LinkDirection::new(delayed));
    let relay = relay::start(target, forward, backward).await.unwrap();
    assert!(round_trip(relay.addr, 100).await >= Duration::from_millis(100));
    let limited = LinkDirectionSettings { delay_ms: 0, rate_bytes_per_s: 400_000 };
    let unlimited = LinkDirection::new(LinkDirectionSettings { delay_ms: 0, rate_bytes_per_s: 0 });
    let relay = relay::start(target, Arc::new(LinkDirection::new(limited)), Arc::new(unlimited))
        .await
        .unwrap();
    assert!(round_trip(relay.addr, 100_000).await >= Duration::from_millis(240));
}

#[test]
fn only_token_events_are_counted_and_only_done_completes_the_stream() {
    let mut counter = TokenCounter::default();
    assert_eq!(counter.count_tokens(b"data: {\"delta\":{}}\n\ndata: {\"del"), 1);
    assert_eq!(counter.count_tokens(b"ta\":{}}\n\n"), 1);
    assert_eq!(counter.count_tokens(b"event: error\ndata: {\"code\":1402}\n\n"), 0);
    assert!(!counter.is_done);
    assert_eq!(counter.count_tokens(b"data: [DONE]\n\n"), 0);
    assert!(counter.is_done);
}

#[rstest]
#[case("duration_s = 10", "duration = 10", "[experiment] lacks duration_s")]
#[case("hosts = 2", "hosts = 2\nhost = 2", "[region oriente] host is not known")]
#[case("hosts = 2", "hosts = two", "[region oriente] hosts = two")]
#[case("share_milli = 500", "share_milli = 400", "adds up to 900")]
#[case("[class plan]", "[klass plan]", "[klass plan] is not a section")]
fn errors_in_an_experiment_file_name_the_section_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let original = fs::read_to_string(examples.join("zacapa-load.ini")).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("load.ini");
    fs::write(&path, original.replacen(from, to, 1)).unwrap();
    let error = experiment_file::read(&path).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}
