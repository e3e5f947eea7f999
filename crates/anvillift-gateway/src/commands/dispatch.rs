//! Runs a command in its home region: reserves its key, sends it once and records the outcome.

use std::sync::Arc;

use anvillift_ledger::attempt::{self, Attempt, AttemptSettings, SendResult, Step};
use anvillift_ledger::key;
use anvillift_routing::decide::Decision;
use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use anvillift_schema::event::Event;
use anvillift_schema::ledger::{CommandKey, CommandOutcome};
use anvillift_schema::name::Name;
use anvillift_schema::public::Outcome;
use bytes::Bytes;
use futures_util::future;
use salvo::http::StatusCode;
use uuid::Uuid;

use super::complete_answer::{CompleteAnswer, collect};
use super::{answers, expire, holder, proposal, record_outcome};
use crate::admission;
use crate::answer::{self, Answer, AnswerBody};
use crate::forward::failure::AttemptFailure;
use crate::forward::tried::{Place, Tried};
use crate::forward::{local, remote};
use crate::gateway::Gateway;
use crate::headers;
use crate::problem::Refusal;
use crate::request::Request;

/// Time after which a caller may repeat a refused command, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Runs a command with a key, or returns the recorded outcome of an earlier attempt.
pub(super) async fn run(
    gateway: &Arc<Gateway>,
    mut request: Request,
    home: &Name,
    key: &Name,
) -> Answer {
    let id = request.id.clone();
    let settings = match attempt_settings(gateway, &request, home, key) {
        Ok(settings) => settings,
        Err(refusal) => return refusal.answer(Some(&id)),
    };
    if let Some(value) = headers::value(&settings.key_hash) {
        request.headers.insert(headers::KEY_HASH, value);
    }
    // The key is reserved here, so the host that sends the command must not reserve it again.
    request.idempotency_key = None;
    let key_hash = settings.key_hash.clone();
    let attempt_id = settings.attempt.clone();
    let mut attempt = Attempt::new(settings, gateway.now_ms());
    let reservation = proposal::propose(gateway, home, &attempt.reservation()).await;
    // Without a majority the caller gets the answer at once, and the outcome is recorded later.
    let wait_for_record = reservation.is_ok();
    let is_lost = |holder: &Name| holder::is_lost(gateway, holder);
    let mut step = attempt.on_verdict(gateway.now_ms(), reservation, is_lost);
    let mut complete = None;
    let mut retry_after_ms = RETRY_AFTER_MS;
    if step == Step::Send {
        let sent = send(gateway, &request, &mut attempt, &attempt_id).await;
        (step, complete, retry_after_ms) = (sent.step, sent.complete, sent.retry_after_ms);
    }
    let Step::Finish { answer, ledger_update } = step else {
        return Refusal::from(Code::Internal).answer(Some(&id));
    };
    let outcome = complete.as_ref().map(CompleteAnswer::outcome);
    let storing = async {
        if let Some(outcome) = outcome {
            answers::store(gateway, home, &request.profile, &key_hash, &outcome).await;
        }
    };
    let recording = async {
        if let Some(operation) = ledger_update {
            record_outcome::record(gateway, home, operation, wait_for_record).await;
        }
    };
    future::join(storing, recording).await;
    match answer {
        attempt::Answer::Complete => match complete {
            Some(complete) => complete.answer,
            None => Refusal::from(Code::Internal).answer(Some(&id)),
        },
        attempt::Answer::Replay { answer_hash, .. } => {
            let stored =
                answers::fetch(gateway, home, &request.profile, &key_hash, &answer_hash).await;
            match stored {
                Some(outcome) => replay(gateway, outcome),
                None => Refusal::from(Code::CommandRan).answer(Some(&id)),
            }
        }
        attempt::Answer::Refused { code, outcome } => {
            if outcome == Outcome::Unknown {
                log::warn!(
                    event = Event::CommandUnknown.number();
                    "outcome of command {id} is unknown: {code:?}"
                );
            }
            refusal(code, outcome, retry_after_ms).answer(Some(&id))
        }
    }
}

fn attempt_settings(
    gateway: &Gateway,
    request: &Request,
    home: &Name,
    key: &Name,
) -> Result<AttemptSettings, Refusal> {
    let issued_unix_ms = key::issued_unix_ms(key, expire::unix_ms())
        .map_err(|error| Refusal::with_detail(Code::MalformedRequest, error.to_string()))?;
    let scope = CommandKey {
        team: request.team.clone(),
        service: request.service.clone(),
        home: home.clone(),
        key: key.clone(),
    };
    Ok(AttemptSettings {
        key_hash: key::key_hash(&scope),
        body_hash: key::body_hash(request.method.as_str(), &request.path, &request.body),
        attempt: Name::from(Uuid::now_v7().to_string()),
        holder: holder::own_holder(gateway),
        issued_unix_ms,
        retention_ms: retention_ms(&request.profile),
        dispatch_within_ms: gateway.settings.timing.dispatch_deadline_ms,
    })
}

/// Retention of a key: at least twice the deadline, so that the key outlives the command that
/// reserved it.
fn retention_ms(profile: &Profile) -> u64 {
    profile.command_retention_ms.max(profile.deadline_ms.saturating_mul(2))
}

/// Result of sending a command: the next step, and the answer if one was received.
struct SendOutcome {
    step: Step,
    complete: Option<CompleteAnswer>,
    retry_after_ms: u64,
}

impl SendOutcome {
    fn without_answer(step: Step) -> Self {
        Self { step, complete: None, retry_after_ms: RETRY_AFTER_MS }
    }
}

/// Sends a reserved command. Another upstream is tried only if certainly nothing was sent to the
/// previous one.
async fn send(
    gateway: &Arc<Gateway>,
    request: &Request,
    attempt: &mut Attempt,
    attempt_id: &Name,
) -> SendOutcome {
    admission::record_first_attempt(gateway, request);
    let mut tried = Tried::default();
    loop {
        let mut facts = request.facts(gateway.now_ms());
        tried.exclude_from(&mut facts);
        let decision = {
            let mut router = gateway.router.lock().expect("lock");
            router.route(gateway.now_ms(), &mut facts, &request.profile)
        };
        if let Decision::Refuse { code, retry_after_ms } = decision {
            return SendOutcome {
                retry_after_ms,
                ..SendOutcome::without_answer(attempt.abandon_unsent(code))
            };
        }
        let (place, result) = match attempt.check_deadline(gateway.now_ms()) {
            Step::Send => send_to(gateway, request, decision, attempt_id).await,
            step => {
                gateway
                    .router
                    .lock()
                    .expect("lock")
                    .record_finished(&request.service, &place(&decision).name);
                return SendOutcome::without_answer(step);
            }
        };
        gateway.router.lock().expect("lock").record_finished(&request.service, &place.name);
        let failure = match result {
            Ok(complete) => return record_answer(attempt, complete),
            Err(failure) => failure,
        };
        tried.record(place, failure.code);
        let attempts = tried.attempts();
        if failure.is_not_run() && admission::allow_retry(gateway, request, &failure, attempts) {
            continue;
        }
        return record_failure(attempt, &failure);
    }
}

fn place(decision: &Decision) -> Place {
    Place::of(decision).expect("a decision that is not a refusal")
}

async fn send_to(
    gateway: &Arc<Gateway>,
    request: &Request,
    decision: Decision,
    attempt_id: &Name,
) -> (Place, Result<CompleteAnswer, AttemptFailure>) {
    let place = place(&decision);
    let answer = match decision {
        Decision::Local { upstream } => {
            local::attempt(gateway, request, &upstream, attempt_id).await
        }
        Decision::Forward { region, data_centre, host } => {
            let target = remote::Target { region, data_centre, host };
            remote::attempt(gateway, request, &target, attempt_id).await
        }
        Decision::Refuse { code, .. } => Err(AttemptFailure::not_run(code)),
    };
    let complete = match answer {
        Ok(answer) => collect(gateway, request, answer).await,
        Err(failure) => Err(failure),
    };
    (place, complete)
}

fn record_answer(attempt: &mut Attempt, complete: CompleteAnswer) -> SendOutcome {
    let outcome = complete.outcome();
    let result =
        SendResult::Answered { status: outcome.status, answer_hash: key::answer_hash(&outcome) };
    SendOutcome {
        complete: Some(complete),
        ..SendOutcome::without_answer(attempt.on_send_result(result))
    }
}

fn record_failure(attempt: &mut Attempt, failure: &AttemptFailure) -> SendOutcome {
    let step = match (failure.outcome, failure.code) {
        (Outcome::NotRun, code) => attempt.abandon_unsent(code),
        (_, Code::UpstreamTimeout) => attempt.on_send_result(SendResult::TimedOut),
        _ => attempt.on_send_result(SendResult::ConnectionLost),
    };
    let retry_after_ms = failure.retry_after_ms.unwrap_or(RETRY_AFTER_MS);
    SendOutcome { retry_after_ms, ..SendOutcome::without_answer(step) }
}

fn replay(gateway: &Gateway, outcome: CommandOutcome) -> Answer {
    let body = Bytes::from(Vec::from(outcome.body));
    let mut answer = Answer {
        status: answer::final_status(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers: salvo::http::HeaderMap::new(),
        body: AnswerBody::Complete(body),
    };
    answer.set_header("content-type", &outcome.content_type);
    answer.set_header(headers::OUTCOME, "ran");
    answer.set_header(headers::ROUTE, &gateway.route_part());
    answer
}

fn refusal(code: Code, outcome: Outcome, retry_after_ms: u64) -> Refusal {
    let may_repeat = outcome == Outcome::NotRun
        || matches!(code, Code::CommandInProgress | Code::LedgerUnavailable);
    let final_codes = [Code::CommandMismatch, Code::CommandExpired];
    let retry_after_ms =
        Some(retry_after_ms).filter(|_| may_repeat && !final_codes.contains(&code));
    let refusal = Refusal { outcome, retry_after_ms, ..Refusal::from(code) };
    match code {
        Code::LedgerUnavailable | Code::CommandExpired => refusal.of_unsent_command(),
        _ => refusal,
    }
}
