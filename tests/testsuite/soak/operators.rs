//! Simulated operators that submit concurrent changes on the same revision, and the checks of their
//! histories.

use std::time::Duration;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::{Change, Configuration, Edit, Profile};
use anvillift_schema::public::{ChangeAnswer, Problem};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::{Method, RequestBuilder};
use tokio::sync::watch::Receiver;
use tokio::time::Instant;
use uuid::Uuid;

use super::history::{self, ChangeOutcome, FIRST_REVISION, Operation};
use super::host_client::{self, HostClient};
use crate::support::wait;

const PAUSE_MS: u64 = 300;
const ATTEMPTS: usize = 4;

/// A submitted change; `value` is the deadline that it sets in the profile of the operator.
#[derive(Clone, Debug)]
pub(super) struct SubmittedChange {
    value: u64,
    operation: Operation<FinalReply>,
}

/// Result of a change after all attempts to submit it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum FinalReply {
    Accepted { expected: u64, revision: u64 },
    Conflict { expected: u64, current: u64 },
    NotRun,
    Unknown { expected: u64 },
}

/// The changes of one operator, in the order of their submission.
#[derive(Clone, Debug)]
pub(super) struct OperatorHistory {
    profile: String,
    pub(super) changes: Vec<SubmittedChange>,
}

/// Waits until every host has the first revision of the control group.
pub(super) async fn wait_for_first_revision(client: &HostClient) {
    for host in client.urls.keys() {
        wait::until(&format!("{host} has the first revision of the control group"), async || {
            configuration(client, host)
                .await
                .is_some_and(|current| current.revision == FIRST_REVISION)
        })
        .await;
    }
}

async fn configuration(client: &HostClient, host: &str) -> Option<Configuration> {
    let request = client.operator_request(Method::GET, host, "/v1/operator/configuration");
    request.send().await.ok()?.json().await.ok()
}

/// Simulates an operator that changes a profile of its own until the soak test stops, and returns
/// the history of the changes.
pub(super) async fn run(
    client: HostClient,
    number: u64,
    seed: u64,
    mut stopped: Receiver<bool>,
) -> OperatorHistory {
    let mut rng = SmallRng::seed_from_u64(seed ^ (number + 1) << 32);
    let began = Instant::now();
    let mut history = OperatorHistory { profile: format!("soak-{number}"), changes: Vec::new() };
    let mut value = 0;
    while !host_client::pause_or_stop(PAUSE_MS, &mut stopped).await {
        let host = client.random_host(&mut rng);
        let Some(current) = configuration(&client, &host).await else { continue };
        value += 1;
        let change = change(&history.profile, current.revision, value);
        let called = began.elapsed();
        let outcome = submit(&client, &mut rng, &change).await;
        let is_unknown = matches!(outcome, FinalReply::Unknown { .. });
        let answered = if is_unknown { Duration::MAX } else { began.elapsed() };
        let operation = Operation { called, answered, operation: outcome };
        history.changes.push(SubmittedChange { value, operation });
    }
    history
}

fn change(profile: &str, expected_revision: u64, value: u64) -> Change {
    let profile = Profile { name: profile.into(), deadline_ms: value, ..Profile::default() };
    Change {
        change_id: Uuid::now_v7().to_string().as_str().into(),
        expected_revision,
        edits: vec![Edit::PutProfile(profile)],
    }
}

/// Submits a change through randomly chosen hosts until it is accepted or refused for a conflict,
/// at most [`ATTEMPTS`] times.
async fn submit(client: &HostClient, rng: &mut SmallRng, change: &Change) -> FinalReply {
    let expected = change.expected_revision;
    let mut is_unknown = false;
    for _ in 0..ATTEMPTS {
        let request =
            client.operator_request(Method::POST, &client.random_host(rng), "/v1/operator/changes");
        match send(request.json(change)).await {
            Reply::Accepted(revision) => return FinalReply::Accepted { expected, revision },
            Reply::Conflict(current) => return FinalReply::Conflict { expected, current },
            Reply::NotRun => {}
            Reply::Unknown => is_unknown = true,
        }
    }
    if is_unknown { FinalReply::Unknown { expected } } else { FinalReply::NotRun }
}

/// Result of one attempt to submit a change.
enum Reply {
    Accepted(u64),
    Conflict(u64),
    NotRun,
    Unknown,
}

async fn send(request: RequestBuilder) -> Reply {
    let answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Reply::NotRun,
        Err(_) => return Reply::Unknown,
    };
    let is_success = answer.status().is_success();
    let Ok(body) = answer.text().await else { return Reply::Unknown };
    if is_success {
        let answer: Result<ChangeAnswer, _> = serde_json::from_str(&body);
        return answer.map_or(Reply::Unknown, |answer| Reply::Accepted(answer.revision));
    }
    let Ok(problem) = serde_json::from_str::<Problem>(&body) else { return Reply::Unknown };
    match Code::from_number(problem.code) {
        Some(Code::RevisionConflict) => Reply::Conflict(problem.revision.expect("a revision")),
        Some(Code::CommitUnknown) => Reply::Unknown,
        Some(Code::ChangeMismatch | Code::ChangeInvalid) => panic!("{problem:?}"),
        _ => Reply::NotRun,
    }
}

/// Checks the histories against the configuration at the end of the test.
pub(super) async fn check(client: &HostClient, operators: &[OperatorHistory]) {
    let last = wait_for_equal_configurations(client).await;
    let mut operations = Vec::new();
    for operator in operators {
        check_last_value(operator, &last);
        operations.extend(operator.changes.iter().filter_map(change_outcome));
    }
    operations.push(Operation::last(ChangeOutcome::Read { revision: last.revision }));
    let accepted = |operation: &&Operation<ChangeOutcome>| {
        matches!(operation.operation, ChangeOutcome::Accepted { .. })
    };
    assert!(operations.iter().filter(accepted).count() > 0, "no change was accepted");
    assert!(history::changes_are_linearizable(operations.clone()), "{operations:#?}");
}

/// Waits until every host has the same configuration, and returns it.
async fn wait_for_equal_configurations(client: &HostClient) -> Configuration {
    let mut last = None;
    wait::until("every host has the same configuration", async || {
        let mut all = Vec::new();
        for host in client.urls.keys() {
            all.push(configuration(client, host).await);
        }
        last = all[0].clone();
        last.is_some() && all.iter().all(|configuration| *configuration == last)
    })
    .await;
    last.expect("a configuration")
}

/// Checks that the profile of an operator has the value of its last accepted change, or of a later
/// change with an unknown outcome.
fn check_last_value(operator: &OperatorHistory, last: &Configuration) {
    let value = last.profiles.get(operator.profile.as_str()).map(|profile| profile.deadline_ms);
    let accepted = operator.changes.iter().rev();
    let accepted = accepted
        .filter(|change| matches!(change.operation.operation, FinalReply::Accepted { .. }))
        .map(|change| change.value)
        .next();
    let is_later_unknown = operator.changes.iter().any(|change| {
        let is_unknown = matches!(change.operation.operation, FinalReply::Unknown { .. });
        is_unknown && Some(change.value) == value && value > accepted
    });
    assert!(
        value == accepted || is_later_unknown,
        "the profile has the deadline {value:?} instead of {accepted:?}: {operator:?}"
    );
}

/// Converts a change to an operation on the configuration; `None` if it was not run.
fn change_outcome(change: &SubmittedChange) -> Option<Operation<ChangeOutcome>> {
    let operation = match change.operation.operation {
        FinalReply::Accepted { expected, revision } => {
            assert_eq!(revision, expected + 1, "{change:?}");
            ChangeOutcome::Accepted { expected }
        }
        FinalReply::Conflict { expected, current } => ChangeOutcome::Conflict { expected, current },
        FinalReply::Unknown { expected } => ChangeOutcome::Unknown { expected },
        FinalReply::NotRun => return None,
    };
    let Operation { called, answered, .. } = change.operation;
    Some(Operation { called, answered, operation })
}
