//! Reasons why a stream of events is truncated although its body has ended.

/// A stream whose body ended where a whole stream can't end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TruncatedStream {
    /// The last event is incomplete.
    #[snafu(display("stream ended inside an event, after {partial_bytes} bytes of it"))]
    InsideEvent {
        /// Bytes received of that event.
        partial_bytes: u64,
    },
    /// The connection was closed before the first event.
    #[snafu(display("connection closed before the first event"))]
    WithoutEvents,
    /// What a worker sent that was to resume the stream is not its continuation.
    #[snafu(display("first event of the resumed stream has no later id"))]
    NotContinued,
}
