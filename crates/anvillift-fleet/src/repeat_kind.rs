//! How often a request may run, and whether its answer is a stream.

/// How often a request may run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RepeatKind {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("non_idempotent")]
    NonIdempotent,
    /// The request runs at most once; its answer is a stream of events.
    #[display("stream")]
    Stream,
    /// The answer is a stream of events that another worker may continue.
    #[display("resumable_stream")]
    ResumableStream,
}

impl RepeatKind {
    /// Whether the request may run again after an attempt that may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
