//! How the relay of an answer ends.

/// How the relay of an answer ended, as logged and counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(super) enum AnswerOutcome {
    /// The caller got the whole answer.
    #[display("complete")]
    Complete,
    /// The worker broke off, and no other could go on.
    #[display("truncated")]
    Truncated,
    /// The caller closed its connection.
    #[display("caller_left")]
    CallerLeft,
    /// The deadline passed.
    #[display("timed_out")]
    TimedOut,
}
