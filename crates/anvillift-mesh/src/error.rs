//! Errors of links.

use std::io;

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use snafu::Snafu;

/// The mesh could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen for links on {address}"))]
    Listen {
        /// The address.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// A certificate or key cannot be used.
    #[snafu(display("certificate or key file {path} cannot be used: {reason}"))]
    KeyFile {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
}

/// A call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// There is no link to the host, and nothing was sent.
    #[snafu(display("there is no link to {host}"))]
    NoLink {
        /// The host.
        host: Name,
    },
    /// The link broke before the answer.
    #[snafu(display("the link to {host} broke before the answer"))]
    LinkBroke {
        /// The host.
        host: Name,
    },
    /// The answer did not come in time.
    #[snafu(display("{host} did not answer in {timeout_ms} ms"))]
    Timeout {
        /// The host.
        host: Name,
        /// The limit.
        timeout_ms: u64,
    },
}

/// A stream could not be opened or broke before the head of its answer.
#[derive(Debug, Snafu)]
#[snafu(display("the stream to {host} failed with code {}", code.number()))]
pub struct OpenError {
    /// The host.
    pub host: Name,
    /// Result code.
    pub code: Code,
    /// Whether no byte of the request left this host.
    pub certainly_not_sent: bool,
}

/// A link could not be set up or broke.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LinkError {
    #[snafu(display("the connection failed"))]
    Connect { source: io::Error },
    #[snafu(display("the WebSocket failed"))]
    WebSocket {
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    #[snafu(display("a frame cannot be decoded: {reason}"))]
    Decode { reason: String },
    #[snafu(display("the handshake took longer than allowed"))]
    HandshakeTimeout,
    #[snafu(display("the other side closed the link"))]
    Closed,
    #[snafu(display("nothing was heard on the link"))]
    Idle,
    #[snafu(display("the host {host} was refused: {reason}"))]
    Refused { host: Name, reason: &'static str },
    #[snafu(display("TLS failed: {reason}"))]
    Tls { reason: String },
}
