//! The heads of requests and responses.

use crate::headers::Headers;

/// The head of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Target as it stands in the request line.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// The path of the target, without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// The query of the target.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Whether the caller wants the connection kept.
    pub fn keeps_alive(&self) -> bool {
        let close = self.headers.has_token("connection", "close");
        let keep = self.headers.has_token("connection", "keep-alive");
        !close && (self.minor_version >= 1 || keep)
    }

    /// Writes the request line and the header fields, without the last line break.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write_to(out);
    }
}

/// The head of a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the sender keeps the connection.
    pub fn keeps_alive(&self) -> bool {
        let close = self.headers.has_token("connection", "close");
        !close && self.minor_version >= 1
    }

    /// Writes the status line and the header fields, without the last line break.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write_to(out);
    }
}
