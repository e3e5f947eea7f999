//! Callers who send commands, and what must hold of their runs.

use std::time::Duration;

use anvillift_bench::plain::RunningPlain;
use anvillift_schema::public::{Outcome, Problem};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::{Method, Response};
use serde_json::Value;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;
use uuid::Uuid;

use super::doors::{self, Doors};
use super::history::{self, CommandStep};
use crate::support::layout::PLAIN;

const ATTEMPTS: usize = 4;
const PAUSE_MS: u64 = 100;
const PATH: &str = "/pivots/7/start";

/// What an attempt was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Told {
    /// It ran, with this answer.
    Ran(String),
    /// It certainly did not run.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// One attempt, with its times for the history.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) called: Duration,
    pub(super) answered: Duration,
    pub(super) told: Told,
}

/// A command and its attempts, one after the other.
#[derive(Clone, Debug)]
pub(super) struct Command {
    key: String,
    attempts: Vec<Attempt>,
}

impl Command {
    /// Whether a caller was told that it ran.
    pub(super) fn ran(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt.told, Told::Ran(_)))
    }
}

/// Sends commands until the soak stops.
pub(super) async fn run(doors: Doors, seed: u64, mut stopped: Receiver<bool>) -> Vec<Command> {
    let mut draws = SmallRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut commands = Vec::new();
    while !doors::pause(PAUSE_MS, &mut stopped).await {
        let mut command = Command { key: Uuid::now_v7().to_string(), attempts: Vec::new() };
        // The first two attempts go through two hosts at once.
        let hosts = [doors.any(&mut draws), doors.any(&mut draws)];
        let [one, two] = hosts.each_ref().map(|host| attempt(&doors, host, &command.key, began));
        let (one, two) = tokio::join!(one, two);
        command.attempts.extend([one, two]);
        while !command.ran() && command.attempts.len() < ATTEMPTS {
            let host = doors.any(&mut draws);
            command.attempts.push(attempt(&doors, &host, &command.key, began).await);
        }
        commands.push(command);
    }
    commands
}

async fn attempt(doors: &Doors, host: &str, key: &str, began: Instant) -> Attempt {
    let called = began.elapsed();
    let request = doors.call(Method::POST, host, &format!("/s/{PLAIN}{PATH}"));
    let answer = request.header("Idempotency-Key", key).body("{}").send().await;
    let told = match answer {
        Ok(answer) => told(answer).await,
        Err(error) if error.is_connect() => Told::NotRun,
        Err(_) => Told::Unknown,
    };
    Attempt { called, answered: began.elapsed(), told }
}

async fn told(answer: Response) -> Told {
    let success = answer.status().is_success();
    let Ok(body) = answer.text().await else { return Told::Unknown };
    if success {
        let whole = serde_json::from_str::<Value>(&body).is_ok();
        return if whole { Told::Ran(body) } else { Told::Unknown };
    }
    match serde_json::from_str::<Problem>(&body) {
        Ok(problem) if problem.outcome == Outcome::NotRun => Told::NotRun,
        _ => Told::Unknown,
    }
}

/// Checks each command against the runs that the services counted.
pub(super) fn check(commands: &[Command], services: &[&RunningPlain]) {
    let reports: Vec<_> = services.iter().map(|service| service.report()).collect();
    for command in commands {
        let runs: usize = reports.iter().map(|report| report.count(&command.key, PATH)).sum();
        assert!(runs <= 1, "ran {runs} times: {command:?}");
        if command.ran() {
            assert_eq!(runs, 1, "told that it ran, and it did not: {command:?}");
        }
        if command.attempts.iter().all(|attempt| attempt.told == Told::NotRun) {
            assert_eq!(runs, 0, "told that it did not run, and it did: {command:?}");
        }
        let steps: Vec<CommandStep> = command
            .attempts
            .iter()
            .map(|attempt| (attempt.called, attempt.answered, attempt.told.clone()))
            .collect();
        assert!(history::command_is_linearizable(&steps, runs == 1), "{command:?}");
    }
}
