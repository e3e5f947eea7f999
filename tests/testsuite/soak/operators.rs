//! Operators who race for the next revision.

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

use super::doors::{self, Doors};
use super::history::{self, ChangeOutcome, FOUNDING_REVISION, Operation};
use crate::support::wait;

const PAUSE_MS: u64 = 300;
const ATTEMPTS: usize = 4;

/// One submitted change.
#[derive(Clone, Debug)]
pub(super) struct Submitted {
    value: u64,
    operation: Operation<Answer>,
}

/// What the operator was told in the end.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Answer {
    Accepted { expected: u64, revision: u64 },
    Conflict { expected: u64, current: u64 },
    NotRun,
    Unknown { expected: u64 },
}

/// Changes of one operator, in order.
#[derive(Clone, Debug)]
pub(super) struct Changes {
    profile: String,
    pub(super) changes: Vec<Submitted>,
}

/// Waits until control has begun and every host holds its first revision.
pub(super) async fn founded(doors: &Doors) {
    for host in doors.urls.keys() {
        wait::until(&format!("{host} has control's first revision"), async || {
            configuration(doors, host).await.is_some_and(|held| held.revision == FOUNDING_REVISION)
        })
        .await;
    }
}

async fn configuration(doors: &Doors, host: &str) -> Option<Configuration> {
    let request = doors.operate(Method::GET, host, "/v1/operator/configuration");
    request.send().await.ok()?.json().await.ok()
}

/// Changes a profile of its own until the soak stops.
pub(super) async fn run(
    doors: Doors,
    number: u64,
    seed: u64,
    mut stopped: Receiver<bool>,
) -> Changes {
    let mut draws = SmallRng::seed_from_u64(seed ^ (number + 1) << 32);
    let began = Instant::now();
    let mut history = Changes { profile: format!("soak-{number}"), changes: Vec::new() };
    let mut value = 0;
    while !doors::pause(PAUSE_MS, &mut stopped).await {
        let host = doors.any(&mut draws);
        let Some(held) = configuration(&doors, &host).await else { continue };
        value += 1;
        let change = change(&history.profile, held.revision, value);
        let called = began.elapsed();
        let answer = submit(&doors, &mut draws, &change).await;
        let open = matches!(answer, Answer::Unknown { .. });
        let answered = if open { Duration::MAX } else { began.elapsed() };
        let operation = Operation { called, answered, operation: answer };
        history.changes.push(Submitted { value, operation });
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

/// Sends a change, through another host each time, until its fate is known.
async fn submit(doors: &Doors, draws: &mut SmallRng, change: &Change) -> Answer {
    let expected = change.expected_revision;
    let mut undecided = false;
    for _ in 0..ATTEMPTS {
        let request = doors.operate(Method::POST, &doors.any(draws), "/v1/operator/changes");
        match send(request.json(change)).await {
            Reply::Accepted(revision) => return Answer::Accepted { expected, revision },
            Reply::Conflict(current) => return Answer::Conflict { expected, current },
            Reply::NotRun => {}
            Reply::Unknown => undecided = true,
        }
    }
    if undecided { Answer::Unknown { expected } } else { Answer::NotRun }
}

/// What one attempt was told.
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
    let success = answer.status().is_success();
    let Ok(body) = answer.text().await else { return Reply::Unknown };
    if success {
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

/// Checks the histories against the configuration that holds in the end.
pub(super) async fn check(doors: &Doors, operators: &[Changes]) {
    let last = settled(doors).await;
    let mut operations = Vec::new();
    for operator in operators {
        check_last(operator, &last);
        operations.extend(operator.changes.iter().filter_map(outcome));
    }
    operations.push(Operation::last(ChangeOutcome::Read { revision: last.revision }));
    let accepted = |operation: &&Operation<ChangeOutcome>| {
        matches!(operation.operation, ChangeOutcome::Accepted { .. })
    };
    assert!(operations.iter().filter(accepted).count() > 0, "no change was accepted");
    assert!(history::changes_are_linearizable(operations.clone()), "{operations:#?}");
}

/// The configuration, once every host holds the same.
async fn settled(doors: &Doors) -> Configuration {
    let mut last = None;
    wait::until("every host holds the same configuration", async || {
        let mut all = Vec::new();
        for host in doors.urls.keys() {
            all.push(configuration(doors, host).await);
        }
        last = all[0].clone();
        last.is_some() && all.iter().all(|held| *held == last)
    })
    .await;
    last.expect("a configuration")
}

/// The value of an operator's profile is that of the last accepted change, or
/// of a later one whose fate is not known.
fn check_last(operator: &Changes, last: &Configuration) {
    let held = last.profiles.get(operator.profile.as_str()).map(|profile| profile.deadline_ms);
    let accepted = operator.changes.iter().rev();
    let accepted = accepted
        .filter(|change| matches!(change.operation.operation, Answer::Accepted { .. }))
        .map(|change| change.value)
        .next();
    let undecided = operator.changes.iter().any(|change| {
        let open = matches!(change.operation.operation, Answer::Unknown { .. });
        open && Some(change.value) == held && held > accepted
    });
    assert!(held == accepted || undecided, "{held:?} instead of {accepted:?}: {operator:?}");
}

/// What a change did to the configuration; nothing if it was not run.
fn outcome(change: &Submitted) -> Option<Operation<ChangeOutcome>> {
    let operation = match change.operation.operation {
        Answer::Accepted { expected, revision } => {
            assert_eq!(revision, expected + 1, "{change:?}");
            ChangeOutcome::Accepted { expected }
        }
        Answer::Conflict { expected, current } => ChangeOutcome::Conflict { expected, current },
        Answer::Unknown { expected } => ChangeOutcome::Unknown { expected },
        Answer::NotRun => return None,
    };
    let Operation { called, answered, .. } = change.operation;
    Some(Operation { called, answered, operation })
}
