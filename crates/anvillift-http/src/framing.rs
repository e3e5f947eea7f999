//! Where a body ends.

use crate::error::{AmbiguousSnafu, HttpError};
use crate::head::{RequestHead, ResponseHead};
use crate::headers::Headers;

/// Where a body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is none.
    None,
    /// After a number of bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

impl Framing {
    /// The framing of a request's body. A length beside chunks, two lengths or
    /// an unknown coding could be read in two ways and are refused.
    pub fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        if head.headers.contains("transfer-encoding") {
            if head.headers.contains("content-length") {
                return AmbiguousSnafu { reason: "both a length and chunks" }.fail();
            }
            if head.minor_version == 0 {
                return AmbiguousSnafu { reason: "chunks in HTTP/1.0" }.fail();
            }
            check_chunked(&head.headers)?;
            return Ok(Self::Chunked);
        }
        Ok(length(&head.headers)?.map_or(Self::None, Self::Length))
    }

    /// The framing of a response's body to a request of a method.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Self, HttpError> {
        if method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Self::None);
        }
        if head.headers.contains("transfer-encoding") {
            if head.headers.contains("content-length") {
                return AmbiguousSnafu { reason: "both a length and chunks" }.fail();
            }
            check_chunked(&head.headers)?;
            return Ok(Self::Chunked);
        }
        Ok(length(&head.headers)?.map_or(Self::UntilClose, Self::Length))
    }
}

fn check_chunked(headers: &Headers) -> Result<(), HttpError> {
    let mut values = headers.all("transfer-encoding");
    let only = values.next().is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
    if only && values.next().is_none() {
        Ok(())
    } else {
        AmbiguousSnafu { reason: "an unknown transfer coding" }.fail()
    }
}

fn length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut values = headers.all("content-length");
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return AmbiguousSnafu { reason: "two lengths" }.fail();
    }
    let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(first).ok().and_then(|text| text.parse().ok());
    match parsed.filter(|_| digits) {
        Some(bytes) => Ok(Some(bytes)),
        None => AmbiguousSnafu { reason: "a length that is no number" }.fail(),
    }
}
