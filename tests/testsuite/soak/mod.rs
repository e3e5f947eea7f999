//! Soak test with simulated callers and operators under a seeded schedule of faults.
//!
//! While hosts are killed, frozen, isolated and wiped, callers ask questions and
//! send commands, and operators change the configuration. Afterwards all faults
//! are ended, and the histories and invariants are checked. `cargo xtask soak`
//! runs the test for longer and with other seeds.

mod callers;
mod commands;
mod faults;
mod history;
mod host_client;
mod operators;
mod watch;

use std::collections::BTreeMap;
use std::env;
use std::time::Duration;

use anvillift_bench::engine::EngineSettings;
use anvillift_bench::plain::RunningPlain;
use tokio::sync::watch::channel;
use tokio::time::Instant;

use crate::support::cluster::Cluster;
use crate::support::layout::{BOUND, MODEL};
use crate::support::upstreams;
use host_client::HostClient;

/// Duration unless `ANVILLIFT_SOAK_SECONDS` sets another, as in CI.
const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
const CALLERS: u64 = 4;
const COMMAND_SENDERS: u64 = 3;
const OPERATORS: u64 = 2;
const DATA_CENTRES: [&str; 3] = ["zacapa-a", "escuintla-a", "xela-a"];

#[tokio::test(flavor = "multi_thread")]
async fn faults_break_no_promise() {
    let seconds = env_number("ANVILLIFT_SOAK_SECONDS", DEFAULT_SECONDS);
    let seed = env_number("ANVILLIFT_SOAK_SEED", DEFAULT_SEED);
    run(Duration::from_secs(seconds), seed).await;
}

fn env_number(variable: &str, default: u64) -> u64 {
    env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

async fn run(duration: Duration, seed: u64) {
    let mut cluster = Cluster::start().await;
    let mut engines = Vec::new();
    let mut services = BTreeMap::new();
    for data_centre in DATA_CENTRES {
        let settings = EngineSettings::default();
        engines.push(upstreams::start_engine(&cluster, data_centre, MODEL, settings).await);
        services.insert(data_centre, upstreams::start_plain(&cluster, data_centre).await);
    }
    // This engine is outside the places that its service allows, so it must never get a request.
    let disallowed_engine =
        upstreams::start_engine(&cluster, "escuintla-a", BOUND, EngineSettings::default()).await;
    let client = HostClient::new(&cluster);
    operators::wait_for_first_revision(&client).await;
    let (stop, stopped) = channel(false);

    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(callers::run(client.clone(), seed + number, stopped.clone())))
        .collect();
    let command_senders: Vec<_> = (0..COMMAND_SENDERS)
        .map(|number| tokio::spawn(commands::run(client.clone(), seed + number, stopped.clone())))
        .collect();
    let operators: Vec<_> = (0..OPERATORS)
        .map(|number| tokio::spawn(operators::run(client.clone(), number, seed, stopped.clone())))
        .collect();
    let revision_watch = tokio::spawn(watch::run(client.clone(), stopped.clone()));
    let faults = faults::run(&mut cluster, seed, Instant::now() + duration).await;
    stop.send_replace(true);

    let mut questions = callers::QuestionCounts::default();
    for caller in callers {
        questions.add(&caller.await.expect("a caller found a violated guarantee"));
    }
    let mut commands = Vec::new();
    for sender in command_senders {
        commands.extend(sender.await.expect("a command sender found a violated guarantee"));
    }
    let mut changes = Vec::new();
    for operator in operators {
        changes.push(operator.await.expect("an operator found a violated guarantee"));
    }
    let reads = revision_watch.await.expect("the revision of a host decreased");
    faults::repair(&mut cluster).await;
    eprintln!(
        "seed {seed}: faults {faults:?}; {questions:?}; {} commands; {} changes; {reads} reads",
        commands.len(),
        changes.iter().map(|history| history.changes.len()).sum::<usize>()
    );
    let services: Vec<&RunningPlain> = services.values().collect();
    operators::check(&client, &changes).await;
    assert_eq!(disallowed_engine.report().requests, 0, "a request left the places of its profile");
    assert!(questions.complete > 0, "no question was answered completely");
    commands::check(&commands, &services);
    assert!(commands.iter().any(commands::Command::has_run), "no command ran");
}
