//! What follows from the end of an attempt.
//!
//! Whether a request may have run is known from how far its attempt came. A
//! refusal (503) promises that it has not run and never will, so it is given
//! only where no byte of any attempt may have reached a worker, or the worker
//! said so itself; everything else is 502 or 504.

use crate::repeat_kind::RepeatKind;

/// How an attempt ended before its answer was passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum AttemptEnd {
    /// No byte left this host.
    #[display("not_sent")]
    NotSent,
    /// The worker says that it has not run the request.
    #[display("rejected")]
    Rejected,
    /// The connection ended, or what came is no answer to the request.
    #[display("broken")]
    Broken,
    /// The worker answered with a failure of its own.
    #[display("failed")]
    Failed,
    /// The time is over.
    #[display("timed_out")]
    TimedOut,
}

/// What is known about the request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// What may be repeated.
    pub kind: RepeatKind,
    /// Workers that may have run it, this one included.
    pub ran: u32,
    /// Most workers that may run it.
    pub attempts: u32,
    /// Attempts made, whatever came of them.
    pub sent: u32,
    /// Time left, in milliseconds.
    pub left_ms: u64,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Try another worker; nothing has reached one by this attempt.
    TryAnother,
    /// Try another worker if the retry budget allows it, else do as told.
    RetryElse(Final),
    /// End the request.
    End(Final),
}

/// The final answer of a request that is given up on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum Final {
    /// Refused: not run, and never will be.
    #[display("refused")]
    Refused,
    /// The answer of the worker is passed on.
    #[display("passed_on")]
    PassOn,
    /// No answer came; it may have run.
    #[display("unknown")]
    Unknown,
    /// No answer came in time; it may have run.
    #[display("timed_out")]
    TimedOut,
}

/// Attempts after which a request is given up on, whatever they came to.
const MAX_SENT: u32 = 4;
/// Time that another attempt needs at least, in milliseconds.
const ATTEMPT_MS: u64 = 30;

/// How many workers may run a request here. A request that another host passes
/// on runs once at most: that host counts the attempts of its route.
pub fn attempts_here(route_attempts: u32, is_passed_on: bool) -> u32 {
    if is_passed_on { 1 } else { route_attempts }
}

/// What follows from the end of an attempt.
pub fn step(end: AttemptEnd, request: &RequestState) -> Step {
    let has_run = request.ran > 0;
    let worth_trying = request.sent < MAX_SENT && request.left_ms >= ATTEMPT_MS;
    let given_up = if has_run { Final::Unknown } else { Final::Refused };
    match end {
        AttemptEnd::NotSent if worth_trying => Step::TryAnother,
        AttemptEnd::Rejected if worth_trying => Step::RetryElse(given_up),
        AttemptEnd::NotSent | AttemptEnd::Rejected => Step::End(given_up),
        AttemptEnd::TimedOut => Step::End(if has_run { Final::TimedOut } else { given_up }),
        AttemptEnd::Broken | AttemptEnd::Failed => {
            let own = if end == AttemptEnd::Failed { Final::PassOn } else { Final::Unknown };
            let may_repeat = request.kind.may_repeat() && request.ran < request.attempts;
            if may_repeat && worth_trying { Step::RetryElse(own) } else { Step::End(own) }
        }
    }
}
