//! Answers that this host gives itself.

use std::io;

use anvillift_http::{Connection, Headers, ResponseHead};

/// An answer of this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reply {
    /// Status.
    pub(crate) status: u16,
    /// Further header fields.
    pub(crate) headers: Headers,
    /// Body, of JSON.
    pub(crate) body: Vec<u8>,
    /// Whether the connection ends after it.
    pub(crate) closes: bool,
}

impl Reply {
    /// An answer with a body.
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, ..Self::default() }
    }

    /// Adds when to come back.
    pub(crate) fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        self.headers.push("Retry-After", seconds);
        self
    }

    /// Lets the connection end after the answer.
    pub(crate) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Writes the answer.
    pub(crate) async fn write(self, connection: &Connection) -> io::Result<()> {
        let mut head = ResponseHead {
            status: self.status,
            reason: reason(self.status).to_owned(),
            minor_version: 1,
            headers: self.headers,
        };
        head.headers.push("Content-Type", "application/json");
        head.headers.push("Content-Length", self.body.len().to_string());
        if self.closes {
            head.headers.push("Connection", "close");
        }
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        head.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        connection.write_all(&bytes).await
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
