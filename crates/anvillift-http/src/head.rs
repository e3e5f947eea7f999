//! Heads of requests and responses: the first line and the header fields.

use crate::headers::Headers;

/// Request line and header fields of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Method, with the letter case as received.
    pub method: String,
    /// Target as in the request line, without percent-decoding.
    pub target: String,
    /// Minor version of HTTP/1 in the request line.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: Headers,
}

impl RequestHead {
    /// The part of the target before the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// The part of the target after the question mark; empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Whether the caller keeps the connection open for another request.
    pub fn keeps_alive(&self) -> bool {
        let has_close = self.headers.has_token("connection", "close");
        let has_keep_alive = self.headers.has_token("connection", "keep-alive");
        !has_close && (self.minor_version >= 1 || has_keep_alive)
    }

    /// Writes the request line as HTTP/1.1 and the header fields, without the
    /// empty line that ends the head.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write_to(out);
    }
}

/// Status line and header fields of a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Three-digit status code.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// Minor version of HTTP/1 in the status line.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the sender keeps the connection open after the response. HTTP/1.0
    /// responses count as closing, also with a keep-alive field.
    pub fn keeps_alive(&self) -> bool {
        let has_close = self.headers.has_token("connection", "close");
        !has_close && self.minor_version >= 1
    }

    /// Writes the status line as HTTP/1.1 and the header fields, without the
    /// empty line that ends the head.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write_to(out);
    }
}
