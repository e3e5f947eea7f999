//! Callers and operators under a seeded schedule of faults.
//!
//! While hosts are killed, frozen, cut off and wiped, callers ask and command
//! and operators change the configuration. Afterwards everything is mended,
//! and the histories and invariants are checked. `cargo xtask soak` runs it
//! for longer and with other seeds.

mod callers;
mod commands;
mod doors;
mod faults;
mod history;
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
use doors::Doors;

/// Length of the run in CI.
const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
const CALLERS: u64 = 4;
const COMMANDERS: u64 = 3;
const OPERATORS: u64 = 2;
const DATA_CENTRES: [&str; 3] = ["zacapa-a", "escuintla-a", "xela-a"];

#[tokio::test(flavor = "multi_thread")]
async fn faults_break_no_promise() {
    let seconds = number("ANVILLIFT_SOAK_SECONDS", DEFAULT_SECONDS);
    let seed = number("ANVILLIFT_SOAK_SEED", DEFAULT_SEED);
    run(Duration::from_secs(seconds), seed).await;
}

fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

async fn run(length: Duration, seed: u64) {
    let mut cluster = Cluster::start().await;
    let mut engines = Vec::new();
    let mut services = BTreeMap::new();
    for data_centre in DATA_CENTRES {
        let settings = EngineSettings::default();
        engines.push(upstreams::engine(&cluster, data_centre, MODEL, settings).await);
        services.insert(data_centre, upstreams::plain(&cluster, data_centre).await);
    }
    // It stands outside the places of its service, so that it must never be asked.
    let outside =
        upstreams::engine(&cluster, "escuintla-a", BOUND, EngineSettings::default()).await;
    let doors = Doors::of(&cluster);
    operators::founded(&doors).await;
    let (stop, stopped) = channel(false);

    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(callers::run(doors.clone(), seed + number, stopped.clone())))
        .collect();
    let commanders: Vec<_> = (0..COMMANDERS)
        .map(|number| tokio::spawn(commands::run(doors.clone(), seed + number, stopped.clone())))
        .collect();
    let operators: Vec<_> = (0..OPERATORS)
        .map(|number| tokio::spawn(operators::run(doors.clone(), number, seed, stopped.clone())))
        .collect();
    let watching = tokio::spawn(watch::run(doors.clone(), stopped.clone()));
    let faults = faults::run(&mut cluster, seed, Instant::now() + length).await;
    stop.send_replace(true);

    let mut asked = callers::Tally::default();
    for caller in callers {
        asked.add(&caller.await.expect("a caller found a broken promise"));
    }
    let mut commands = Vec::new();
    for commander in commanders {
        commands.extend(commander.await.expect("a commander found a broken promise"));
    }
    let mut changes = Vec::new();
    for operator in operators {
        changes.push(operator.await.expect("an operator found a broken promise"));
    }
    let looks = watching.await.expect("a revision fell");
    faults::mend(&mut cluster).await;
    eprintln!(
        "seed {seed}: faults {faults:?}; {asked:?}; {} commands; {} changes; {looks} looks",
        commands.len(),
        changes.iter().map(|history| history.changes.len()).sum::<usize>()
    );
    let services: Vec<&RunningPlain> = services.values().collect();
    operators::check(&doors, &changes).await;
    assert_eq!(outside.report().requests, 0, "data left its places");
    assert!(asked.whole > 0, "nothing was answered");
    commands::check(&commands, &services);
    assert!(commands.iter().any(commands::Command::ran), "no command ran");
}
