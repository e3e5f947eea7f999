//! Errors of reading and writing messages.

use std::io;

/// An error in reading or writing a message.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// The bytes can't be parsed as an HTTP/1.1 head.
    #[snafu(display("malformed head: {source}"))]
    MalformedHead {
        /// Error of the head parser.
        source: httparse::Error,
    },
    /// The status of a response is not between 100 and 599.
    #[snafu(display("a response can't have the status {status:03}"))]
    InvalidStatus {
        /// Three-digit status code.
        status: u16,
    },
    /// A response switches the connection to another protocol, which no request asks for.
    #[snafu(display("the peer switches to another protocol unasked"))]
    ProtocolSwitched,
    /// The request or status line and the header fields exceed the limit.
    #[snafu(display("head larger than {limit_bytes} bytes"))]
    HeadTooLarge {
        /// Limit for the head, in bytes.
        limit_bytes: usize,
    },
    /// The head has too many header fields.
    #[snafu(display("more than {limit} header fields"))]
    TooManyFields {
        /// Limit for the number of fields.
        limit: usize,
    },
    /// Heads of other messages keep arriving in place of the one that is expected.
    #[snafu(display("more than {limit} other heads before that of the answer"))]
    TooManyHeads {
        /// Limit for the other heads.
        limit: u32,
    },
    /// The body exceeds the limit.
    #[snafu(display("body larger than {limit_bytes} bytes"))]
    BodyTooLarge {
        /// Limit for the body, in bytes.
        limit_bytes: u64,
    },
    /// The fields that determine the length of the body are invalid or
    /// contradict each other.
    #[snafu(display("ambiguous body framing: {reason}"))]
    AmbiguousFraming {
        /// What is wrong with the fields.
        reason: &'static str,
    },
    /// A chunk size, chunk end or trailer field is malformed.
    #[snafu(display("malformed chunk in the body"))]
    MalformedChunk,
    /// The peer closed the connection before the end of a message.
    #[snafu(display("connection closed before the end of the message"))]
    Incomplete,
    /// The peer closed the connection between two messages.
    #[snafu(display("connection closed"))]
    Closed,
    /// Reading from or writing to the socket failed.
    #[snafu(display("connection failed: {source}"), context(false))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
}

impl HttpError {
    /// Whether the connection ended, rather than carry bytes that can't be accepted.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Incomplete | Self::Closed | Self::Io { .. })
    }
}
