//! Tests of how a request continues when an attempt has ended.

use anvillift_fleet::RepeatKind;
use anvillift_fleet::retry_decision;
use anvillift_fleet::retry_decision::{AttemptEnd, FinalOutcome, NextStep, RequestState};
use rstest::rstest;

fn state(kind: RepeatKind, run_count: u32, max_runs: u32) -> RequestState {
    RequestState {
        kind,
        run_count,
        max_runs,
        attempt_count: 1,
        is_suspected: false,
        left_ms: 1_000,
    }
}

/// A refusal promises that the request has not run and never will.
#[rstest]
#[case(AttemptEnd::NotSent, 0, NextStep::TryAnother)]
#[case(AttemptEnd::Rejected, 0, NextStep::RetryElse(FinalOutcome::Refused))]
#[case(AttemptEnd::Broken, 1, NextStep::End(FinalOutcome::Unknown))]
#[case(AttemptEnd::Failed, 1, NextStep::End(FinalOutcome::PassOn))]
#[case(AttemptEnd::TimedOut, 1, NextStep::End(FinalOutcome::TimedOut))]
fn a_request_that_may_not_repeat_is_retried_only_if_it_has_not_run(
    #[case] end: AttemptEnd,
    #[case] run_count: u32,
    #[case] step: NextStep,
) {
    for kind in [RepeatKind::NonIdempotent, RepeatKind::Stream] {
        assert_eq!(retry_decision::next_step(end, &state(kind, run_count, 3)), step, "{kind}");
    }
}

#[rstest]
#[case(AttemptEnd::Broken, NextStep::RetryElse(FinalOutcome::Unknown))]
#[case(AttemptEnd::Failed, NextStep::RetryElse(FinalOutcome::PassOn))]
fn a_request_that_may_repeat_is_retried(#[case] end: AttemptEnd, #[case] step: NextStep) {
    for kind in [RepeatKind::Idempotent, RepeatKind::ResumableStream] {
        assert_eq!(retry_decision::next_step(end, &state(kind, 1, 2)), step, "{kind}");
    }
}

#[test]
fn no_more_workers_run_a_request_than_its_route_allows() {
    let spent = state(RepeatKind::Idempotent, 2, 2);
    assert_eq!(
        retry_decision::next_step(AttemptEnd::Broken, &spent),
        NextStep::End(FinalOutcome::Unknown)
    );
    assert_eq!(
        retry_decision::next_step(AttemptEnd::Failed, &spent),
        NextStep::End(FinalOutcome::PassOn)
    );
}

/// Guards against additional attempts at a second host: a host that a stream was
/// forwarded to made attempts of its own beside those of the host that the caller
/// was connected to (seen on tricura-caves trouble-2).
#[test]
fn a_forwarded_request_runs_on_one_worker() {
    let max_runs = retry_decision::max_runs_here(2, true);
    let forwarded = state(RepeatKind::ResumableStream, 1, max_runs);
    assert_eq!(
        retry_decision::next_step(AttemptEnd::Broken, &forwarded),
        NextStep::End(FinalOutcome::Unknown)
    );
    assert_eq!(retry_decision::max_runs_here(2, false), 2);
}

/// A request that may have run is never refused, however its later attempts end.
#[test]
fn a_request_that_may_have_run_is_not_refused() {
    for end in [AttemptEnd::NotSent, AttemptEnd::Rejected] {
        let ran = RequestState { attempt_count: 9, ..state(RepeatKind::Idempotent, 1, 3) };
        assert_eq!(retry_decision::next_step(end, &ran), NextStep::End(FinalOutcome::Unknown));
    }
}

#[test]
fn no_attempt_is_made_without_enough_time() {
    let late = RequestState { left_ms: 5, ..state(RepeatKind::Idempotent, 0, 3) };
    assert_eq!(
        retry_decision::next_step(AttemptEnd::NotSent, &late),
        NextStep::End(FinalOutcome::Refused)
    );
}

/// A request that may crash workers is repeated at one worker after the other.
#[test]
fn a_suspected_request_is_not_repeated_once_it_may_have_run() {
    for kind in [RepeatKind::Idempotent, RepeatKind::ResumableStream] {
        let suspected = RequestState { is_suspected: true, ..state(kind, 1, 3) };
        let broken = NextStep::End(FinalOutcome::Unknown);
        assert_eq!(retry_decision::next_step(AttemptEnd::Broken, &suspected), broken);
        let not_sent = retry_decision::next_step(AttemptEnd::NotSent, &suspected);
        assert_eq!(not_sent, NextStep::TryAnother);
    }
}
