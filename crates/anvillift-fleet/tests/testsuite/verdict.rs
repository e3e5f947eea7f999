//! Tests of how a request continues when an attempt has ended.

use anvillift_fleet::RepeatKind;
use anvillift_fleet::verdict;
use anvillift_fleet::verdict::{AttemptEnd, Final, RequestState, Step};
use rstest::rstest;

fn state(kind: RepeatKind, ran: u32, attempts: u32) -> RequestState {
    RequestState { kind, ran, attempts, sent: 1, left_ms: 1_000 }
}

/// A refusal promises that the request has not run and never will.
#[rstest]
#[case(AttemptEnd::NotSent, 0, Step::TryAnother)]
#[case(AttemptEnd::Rejected, 0, Step::RetryElse(Final::Refused))]
#[case(AttemptEnd::Broken, 1, Step::End(Final::Unknown))]
#[case(AttemptEnd::Failed, 1, Step::End(Final::PassOn))]
#[case(AttemptEnd::TimedOut, 1, Step::End(Final::TimedOut))]
fn a_request_that_may_not_repeat_is_retried_only_if_it_has_not_run(
    #[case] end: AttemptEnd,
    #[case] ran: u32,
    #[case] step: Step,
) {
    for kind in [RepeatKind::NonIdempotent, RepeatKind::Stream] {
        assert_eq!(verdict::step(end, &state(kind, ran, 3)), step, "{kind}");
    }
}

#[rstest]
#[case(AttemptEnd::Broken, Step::RetryElse(Final::Unknown))]
#[case(AttemptEnd::Failed, Step::RetryElse(Final::PassOn))]
fn a_request_that_may_repeat_is_retried(#[case] end: AttemptEnd, #[case] step: Step) {
    for kind in [RepeatKind::Idempotent, RepeatKind::ResumableStream] {
        assert_eq!(verdict::step(end, &state(kind, 1, 2)), step, "{kind}");
    }
}

#[test]
fn no_more_workers_run_a_request_than_its_route_allows() {
    let spent = state(RepeatKind::Idempotent, 2, 2);
    assert_eq!(verdict::step(AttemptEnd::Broken, &spent), Step::End(Final::Unknown));
    assert_eq!(verdict::step(AttemptEnd::Failed, &spent), Step::End(Final::PassOn));
}

/// Guards against additional attempts at a second host: a host that a stream was
/// forwarded to made attempts of its own beside those of the host that the caller
/// was connected to (seen on tricura-caves trouble-2).
#[test]
fn a_forwarded_request_runs_on_one_worker() {
    let attempts = verdict::attempts_here(2, true);
    let forwarded = state(RepeatKind::ResumableStream, 1, attempts);
    assert_eq!(verdict::step(AttemptEnd::Broken, &forwarded), Step::End(Final::Unknown));
    assert_eq!(verdict::attempts_here(2, false), 2);
}

/// A request that may have run is never refused, however its later attempts end.
#[test]
fn a_request_that_may_have_run_is_not_refused() {
    for end in [AttemptEnd::NotSent, AttemptEnd::Rejected] {
        let ran = RequestState { sent: 9, ..state(RepeatKind::Idempotent, 1, 3) };
        assert_eq!(verdict::step(end, &ran), Step::End(Final::Unknown));
    }
}

#[test]
fn no_attempt_is_made_without_enough_time() {
    let late = RequestState { left_ms: 5, ..state(RepeatKind::Idempotent, 0, 3) };
    assert_eq!(verdict::step(AttemptEnd::NotSent, &late), Step::End(Final::Refused));
}
