//! Framing of message bodies: how the end of a body is determined.

use crate::error::{AmbiguousFramingSnafu, HttpError};
use crate::head::{RequestHead, ResponseHead};
use crate::headers::Headers;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum Framing {
    /// The message has no body.
    #[display("none")]
    None,
    /// The body has this number of bytes.
    #[display("length")]
    Length(u64),
    /// The body ends with the last chunk and its trailers.
    #[display("chunked")]
    Chunked,
    /// The body ends where the peer closes the connection.
    #[display("until_close")]
    UntilClose,
}

impl Framing {
    /// The framing of a request's body. A length together with chunks, two
    /// lengths and an unknown transfer coding are refused, since other parsers
    /// might interpret them differently.
    pub fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        if head.headers.contains("transfer-encoding") {
            if head.headers.contains("content-length") {
                return AmbiguousFramingSnafu {
                    reason: "both Content-Length and Transfer-Encoding",
                }
                .fail();
            }
            if head.minor_version == 0 {
                return AmbiguousFramingSnafu { reason: "Transfer-Encoding in HTTP/1.0" }.fail();
            }
            check_chunked(&head.headers)?;
            return Ok(Self::Chunked);
        }
        Ok(content_length(&head.headers)?.map_or(Self::None, Self::Length))
    }

    /// The framing of the body of a response to a request with this method.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Self, HttpError> {
        if method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Self::None);
        }
        if head.headers.contains("transfer-encoding") {
            if head.headers.contains("content-length") {
                return AmbiguousFramingSnafu {
                    reason: "both Content-Length and Transfer-Encoding",
                }
                .fail();
            }
            check_chunked(&head.headers)?;
            return Ok(Self::Chunked);
        }
        Ok(content_length(&head.headers)?.map_or(Self::UntilClose, Self::Length))
    }
}

fn check_chunked(headers: &Headers) -> Result<(), HttpError> {
    let mut values = headers.all("transfer-encoding");
    let is_chunked = values.next().is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
    if is_chunked && values.next().is_none() {
        Ok(())
    } else {
        AmbiguousFramingSnafu { reason: "unknown transfer coding" }.fail()
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut values = headers.all("content-length");
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return AmbiguousFramingSnafu { reason: "two lengths" }.fail();
    }
    let is_decimal = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(first).ok().and_then(|text| text.parse().ok());
    match parsed.filter(|_| is_decimal) {
        Some(bytes) => Ok(Some(bytes)),
        None => AmbiguousFramingSnafu { reason: "Content-Length is not a number" }.fail(),
    }
}
