//! Why a message could not be read.

use std::io;

/// Why a message could not be read or written.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// The bytes are no HTTP/1.1 head.
    #[snafu(display("the head is malformed: {source}"))]
    Malformed {
        /// What the parser found.
        source: httparse::Error,
    },
    /// The head is larger than allowed.
    #[snafu(display("the head exceeds {limit_bytes} bytes"))]
    HeadTooLarge {
        /// Limit, in bytes.
        limit_bytes: usize,
    },
    /// The body is larger than allowed.
    #[snafu(display("the body exceeds {limit_bytes} bytes"))]
    BodyTooLarge {
        /// Limit, in bytes.
        limit_bytes: u64,
    },
    /// The length of the body is missing its meaning or has two.
    #[snafu(display("the framing of the body is ambiguous: {reason}"))]
    Ambiguous {
        /// What is ambiguous.
        reason: &'static str,
    },
    /// A chunk is malformed.
    #[snafu(display("a chunk of the body is malformed"))]
    Chunk,
    /// The peer ended the connection inside a message.
    #[snafu(display("the connection ended inside a message"))]
    Incomplete,
    /// The peer ended the connection between two messages.
    #[snafu(display("the connection ended"))]
    Closed,
    /// The socket failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io {
        /// Cause.
        source: io::Error,
    },
}
