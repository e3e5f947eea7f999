//! Single steps of an attempt.

use anvillift_ledger::attempt::{Answer, Attempt, AttemptSettings, Step};
use anvillift_schema::code::Code;
use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use anvillift_schema::public::Outcome;

const DISPATCH_WITHIN_MS: u64 = 2_000;

fn attempt(started_ms: u64) -> Attempt {
    let settings = AttemptSettings {
        key_hash: "k".to_owned(),
        attempt: Name::from("a"),
        holder: Name::from("h#1"),
        dispatch_within_ms: DISPATCH_WITHIN_MS,
        ..AttemptSettings::default()
    };
    Attempt::new(settings, started_ms)
}

#[test]
fn a_host_that_resumes_past_its_deadline_sends_nothing_and_reports_not_run() {
    let mut attempt = attempt(1_000);
    let reserved = Ok(LedgerVerdict::Reserved(true));
    assert_eq!(attempt.on_verdict(1_010, reserved, |_| false), Step::Send);
    let Step::Finish { answer, ledger_update } = attempt.check_deadline(1_001 + DISPATCH_WITHIN_MS)
    else {
        panic!("the attempt sends past its deadline");
    };
    let refused = Answer::Refused { code: Code::DispatchTooLate, outcome: Outcome::NotRun };
    assert_eq!(answer, refused);
    assert!(matches!(ledger_update, Some(LedgerOperation::Abandon { not_run: true, .. })));
    assert_ne!(attempt.check_deadline(1_010), Step::Send);
}

#[test]
fn a_silent_holder_makes_the_key_unknown_and_does_not_free_it() {
    let mut attempt = attempt(0);
    let other = LedgerVerdict::InProgress { attempt: Name::from("b"), holder: Name::from("g#1") };
    let step = attempt.on_verdict(10, Ok(other), |holder| *holder == Name::from("g#1"));
    let Step::Finish { answer, ledger_update } = step else {
        panic!("the attempt sends although another holds the key")
    };
    let refused = Answer::Refused { code: Code::CommandUnknown, outcome: Outcome::Unknown };
    assert_eq!(answer, refused);
    let Some(LedgerOperation::Abandon { attempt, not_run, .. }) = ledger_update else {
        panic!("the attempt does not record the outcome")
    };
    assert_eq!((attempt, not_run), (Name::from("b"), false));
}
