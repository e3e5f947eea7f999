//! Errors of starting a mesh and of using its links.

use std::io;

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use snafu::Snafu;

/// The mesh could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The listener for links could not be bound.
    #[snafu(display("cannot listen for links on {address}"))]
    Listen {
        /// The address from the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A certificate or key file cannot be read, or its content is not valid.
    #[snafu(display("certificate or key file {path} cannot be used: {reason}"))]
    KeyFile {
        /// Path of the file, as in the settings.
        path: String,
        /// Why the file cannot be used.
        reason: String,
    },
}

/// A call to another host got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// There is no link to the host, and nothing was sent.
    #[snafu(display("there is no link to {host}"))]
    NoLink {
        /// The host that was called.
        host: Name,
    },
    /// The link was lost before the answer arrived; the host may have executed the call.
    #[snafu(display("the link to {host} was lost before the answer arrived"))]
    LinkLost {
        /// The host that was called.
        host: Name,
    },
    /// No answer arrived in time; the host may have executed the call.
    #[snafu(display("{host} did not answer within {timeout_ms} ms"))]
    Timeout {
        /// The host that was called.
        host: Name,
        /// How long the caller waited, in milliseconds.
        timeout_ms: u64,
    },
}

/// A stream could not be opened, or it failed before the head of its answer arrived.
#[derive(Debug, Snafu)]
#[snafu(display("the stream to {host} failed with code {}", code.number()))]
pub struct OpenError {
    /// The host to which the stream was opened.
    pub host: Name,
    /// Why the stream failed.
    pub code: Code,
    /// Whether no byte of the request left this host, so that a retry is safe.
    pub certainly_not_sent: bool,
}

/// A link could not be set up or was lost.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LinkError {
    #[snafu(display("the TCP connection failed: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("the WebSocket connection failed: {source}"))]
    WebSocket {
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    #[snafu(display("a frame cannot be decoded: {reason}"))]
    Decode { reason: String },
    #[snafu(display("the handshake timed out"))]
    HandshakeTimeout,
    #[snafu(display("the peer closed the link"))]
    Closed,
    #[snafu(display("no frame arrived within the idle timeout"))]
    Idle,
    #[snafu(display("host {host} was refused: {reason}"))]
    Refused { host: Name, reason: &'static str },
    #[snafu(display("TLS failed: {reason}"))]
    Tls { reason: String },
}
