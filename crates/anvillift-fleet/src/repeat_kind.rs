//! What may be repeated.

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RepeatKind {
    /// It may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("non_idempotent")]
    NonIdempotent,
    /// A stream of events that runs at most once.
    #[display("stream")]
    Stream,
    /// A stream of events that may go on at another worker.
    #[display("resumable_stream")]
    ResumableStream,
}

impl RepeatKind {
    /// Whether a request may run again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
