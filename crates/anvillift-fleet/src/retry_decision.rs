//! Decides how a request continues when an attempt has ended.
//!
//! How far an attempt progressed determines whether it may have run the request. A refusal
//! (status 503) promises that the request has not run and never will. It is given
//! only if no byte of any attempt may have reached a worker, or the workers
//! themselves said so; in all other cases the status is 502 or 504.

use crate::repeat_kind::RepeatKind;

/// How an attempt ended before any of its answer was passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum AttemptEnd {
    /// No byte of the request left this host.
    #[display("not_sent")]
    NotSent,
    /// The worker reports that it has not run the request.
    #[display("rejected")]
    Rejected,
    /// The connection was lost, or the bytes received are no valid answer.
    #[display("broken")]
    Broken,
    /// The worker answered with an error.
    #[display("failed")]
    Failed,
    /// The deadline of the request passed before an answer came.
    #[display("timed_out")]
    TimedOut,
}

/// State of a request when one of its attempts has ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// How often the request may run.
    pub kind: RepeatKind,
    /// Workers that may have run it, including the one of this attempt.
    pub run_count: u32,
    /// Most workers that may run it.
    pub max_runs: u32,
    /// Attempts made so far, regardless of their outcome.
    pub attempt_count: u32,
    /// Whether it may be the cause of crashes of workers.
    pub is_suspected: bool,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
}

/// How a request continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another worker is tried. This attempt reached no worker, so the retry budget is
    /// not charged.
    TryAnother,
    /// Another worker is tried if the retry budget allows it; otherwise the request
    /// ends with this outcome.
    RetryElse(FinalOutcome),
    /// The request ends with this outcome.
    End(FinalOutcome),
}

/// How a request ends without a successful answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum FinalOutcome {
    /// The request has not run and never will.
    #[display("refused")]
    Refused,
    /// The error of the worker is passed on.
    #[display("passed_on")]
    PassOn,
    /// No answer came; the request may have run.
    #[display("unknown")]
    Unknown,
    /// No answer came in time; the request may have run.
    #[display("timed_out")]
    TimedOut,
}

/// Most attempts of one request, regardless of their outcome.
const MAX_ATTEMPTS: u32 = 4;
/// Least time left for which another attempt is made, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 30;

/// Most workers that may run a request through this host. A request that another
/// host forwarded here runs on one worker at most, since the other host counts the
/// attempts of the route.
pub fn max_runs_here(route_attempts: u32, is_passed_on: bool) -> u32 {
    if is_passed_on { 1 } else { route_attempts }
}

/// Decides how a request continues after an attempt ended.
pub fn next_step(end: AttemptEnd, request: &RequestState) -> NextStep {
    let has_run = request.run_count > 0;
    let can_try_again = request.attempt_count < MAX_ATTEMPTS && request.left_ms >= MIN_ATTEMPT_MS;
    let without_answer = if has_run { FinalOutcome::Unknown } else { FinalOutcome::Refused };
    match end {
        AttemptEnd::NotSent if can_try_again => NextStep::TryAnother,
        AttemptEnd::Rejected if can_try_again => NextStep::RetryElse(without_answer),
        AttemptEnd::NotSent | AttemptEnd::Rejected => NextStep::End(without_answer),
        AttemptEnd::TimedOut => {
            NextStep::End(if has_run { FinalOutcome::TimedOut } else { without_answer })
        }
        AttemptEnd::Broken | AttemptEnd::Failed => {
            let answer_of_attempt = if end == AttemptEnd::Failed {
                FinalOutcome::PassOn
            } else {
                FinalOutcome::Unknown
            };
            let may_repeat = request.kind.may_repeat()
                && request.run_count < request.max_runs
                && !request.is_suspected;
            if may_repeat && can_try_again {
                NextStep::RetryElse(answer_of_attempt)
            } else {
                NextStep::End(answer_of_attempt)
            }
        }
    }
}
