//! How far a request has got, which determines the answer that is true for it.

/// How far a request has got.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, derive_more::Display)]
pub(crate) enum RequestProgress {
    /// Its head or body is still arriving.
    #[display("receiving")]
    Receiving,
    /// No worker has run it, and none has it now.
    #[display("not_run")]
    NotRun,
    /// A worker has or had it.
    #[display("may_have_run")]
    MayHaveRun,
    /// A part of its answer has been written.
    #[display("answering")]
    Answering,
}
