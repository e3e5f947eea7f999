//! Simulated callers that send commands, and the checks of how often the commands ran.

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

use super::history::{self, CommandStep};
use super::host_client::{self, HostClient};
use crate::support::layout::PLAIN;

const ATTEMPTS: usize = 4;
const PAUSE_MS: u64 = 100;
const COMMAND_PATH: &str = "/pivots/7/start";

/// Outcome of an attempt, as its answer reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The command ran and returned this answer.
    Ran(String),
    /// The command did not run, in this or an earlier attempt.
    NotRun,
    /// No connection to the host was made, which says nothing of earlier attempts.
    NotSent,
    /// The command may have run: the answer says so, or there is no complete answer.
    Unknown,
}

/// An attempt to run a command, with the times of its call and answer since the start of the soak
/// test.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) called: Duration,
    pub(super) answered: Duration,
    pub(super) outcome: AttemptOutcome,
}

/// A command and its attempts. The first two run concurrently, the others one after another.
#[derive(Clone, Debug)]
pub(super) struct Command {
    key: String,
    attempts: Vec<Attempt>,
}

impl Command {
    /// Returns whether an answer reported that the command ran.
    pub(super) fn has_run(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt.outcome, AttemptOutcome::Ran(_)))
    }
}

/// Sends commands until the soak test stops, and returns them with their attempts.
pub(super) async fn run(
    client: HostClient,
    seed: u64,
    mut stopped: Receiver<bool>,
) -> Vec<Command> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut commands = Vec::new();
    while !host_client::pause_or_stop(PAUSE_MS, &mut stopped).await {
        let mut command = Command { key: Uuid::now_v7().to_string(), attempts: Vec::new() };
        // The first two attempts are sent at once through two randomly chosen hosts.
        let hosts = [client.random_host(&mut rng), client.random_host(&mut rng)];
        let [first, second] =
            hosts.each_ref().map(|host| send_attempt(&client, host, &command.key, began));
        let (first, second) = tokio::join!(first, second);
        command.attempts.extend([first, second]);
        while !command.has_run() && command.attempts.len() < ATTEMPTS {
            let host = client.random_host(&mut rng);
            command.attempts.push(send_attempt(&client, &host, &command.key, began).await);
        }
        commands.push(command);
    }
    commands
}

async fn send_attempt(client: &HostClient, host: &str, key: &str, began: Instant) -> Attempt {
    let called = began.elapsed();
    let request = client.caller_request(Method::POST, host, &format!("/s/{PLAIN}{COMMAND_PATH}"));
    let answer = request.header("Idempotency-Key", key).body("{}").send().await;
    let outcome = match answer {
        Ok(answer) => attempt_outcome(answer).await,
        Err(error) if error.is_connect() => AttemptOutcome::NotSent,
        Err(_) => AttemptOutcome::Unknown,
    };
    Attempt { called, answered: began.elapsed(), outcome }
}

async fn attempt_outcome(answer: Response) -> AttemptOutcome {
    let is_success = answer.status().is_success();
    let Ok(body) = answer.text().await else { return AttemptOutcome::Unknown };
    if is_success {
        let is_complete = serde_json::from_str::<Value>(&body).is_ok();
        return if is_complete { AttemptOutcome::Ran(body) } else { AttemptOutcome::Unknown };
    }
    match serde_json::from_str::<Problem>(&body) {
        Ok(problem) if problem.outcome == Outcome::NotRun => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    }
}

/// Checks that the outcomes of each command agree with the number of its runs at the services.
pub(super) fn check(commands: &[Command], services: &[&RunningPlain]) {
    let reports: Vec<_> = services.iter().map(|service| service.report()).collect();
    for command in commands {
        let runs: usize =
            reports.iter().map(|report| report.run_count(&command.key, COMMAND_PATH)).sum();
        assert!(runs <= 1, "ran {runs} times: {command:?}");
        if command.has_run() {
            assert_eq!(runs, 1, "reported as run, but it did not run: {command:?}");
        }
        let is_unsent = |attempt: &Attempt| {
            matches!(attempt.outcome, AttemptOutcome::NotRun | AttemptOutcome::NotSent)
        };
        if command.attempts.iter().all(is_unsent) {
            assert_eq!(runs, 0, "reported as not run, but it ran: {command:?}");
        }
        let steps: Vec<CommandStep> = command
            .attempts
            .iter()
            .map(|attempt| (attempt.called, attempt.answered, attempt.outcome.clone()))
            .collect();
        assert!(history::command_is_linearizable(&steps, runs == 1), "{command:?}");
    }
}
