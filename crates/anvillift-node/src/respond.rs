//! Answers that this host produces itself, rather than forwarding them from a worker.

use std::io;

use anvillift_http::{Connection, Headers, ResponseHead};

/// An answer that this host produces itself. Its body is JSON.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Header fields besides content type, length and connection.
    pub(crate) headers: Headers,
    pub(crate) body: Vec<u8>,
    /// Whether the connection is closed after the answer.
    pub(crate) closes_connection: bool,
}

impl Reply {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, ..Self::default() }
    }

    /// Adds a `Retry-After` field, in seconds with three decimals.
    pub(crate) fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        self.headers.push("Retry-After", seconds);
        self
    }

    /// Makes the answer the last one on its connection, which is then closed.
    pub(crate) fn close_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Writes head and body in one buffer.
    pub(crate) async fn write(self, connection: &Connection) -> io::Result<()> {
        let mut head = ResponseHead {
            status: self.status,
            reason: reason_phrase(self.status).to_owned(),
            minor_version: 1,
            headers: self.headers,
        };
        head.headers.push("Content-Type", "application/json");
        head.headers.push("Content-Length", self.body.len().to_string());
        if self.closes_connection {
            head.headers.push("Connection", "close");
        }
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        head.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        connection.write_all(&bytes).await
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
