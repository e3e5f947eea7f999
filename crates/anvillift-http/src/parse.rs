//! Parses heads of requests and responses from a buffer.

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};
use snafu::ResultExt;

use crate::error::{
    HeadTooLargeSnafu, HttpError, InvalidStatusSnafu, MalformedHeadSnafu, TooManyFieldsSnafu,
};
use crate::head::{RequestHead, ResponseHead};
use crate::head_limits::HeadLimits;
use crate::headers::Headers;

/// Statuses that a response may have.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Most header fields that any limit allows.
const MAX_HEADER_FIELDS: usize = 160;

/// Takes the head of a request from the buffer, or returns `None` until the buffer
/// holds the entire head. The buffer doesn't begin with an empty line.
pub(crate) fn request(
    buffer: &mut BytesMut,
    limits: HeadLimits,
) -> Result<Option<RequestHead>, HttpError> {
    if !has_complete_head(buffer, limits.bytes)? {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(buffer).context(MalformedHeadSnafu)?
    else {
        return Ok(None);
    };
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        minor_version: parsed.version.unwrap_or(1),
        headers: headers(parsed.headers),
    };
    buffer.advance(length);
    check_size(length, limits.bytes)?;
    check_fields(&head.headers, limits.fields)?;
    Ok(Some(head))
}

/// Takes the head of a response from the buffer, or returns `None` until the buffer
/// holds the entire head. The buffer doesn't begin with an empty line.
pub(crate) fn response(
    buffer: &mut BytesMut,
    limits: HeadLimits,
) -> Result<Option<ResponseHead>, HttpError> {
    if !has_complete_head(buffer, limits.bytes)? {
        check_status_line(buffer)?;
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(buffer).context(MalformedHeadSnafu)?
    else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or_default();
    check_status(status)?;
    let head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        minor_version: parsed.version.unwrap_or(1),
        headers: headers(parsed.headers),
    };
    buffer.advance(length);
    check_size(length, limits.bytes)?;
    check_fields(&head.headers, limits.fields)?;
    Ok(Some(head))
}

fn headers(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        let name = Bytes::copy_from_slice(field.name.as_bytes());
        headers.push(name, Bytes::copy_from_slice(field.value));
    }
    headers
}

/// Fails if the buffered bytes can't be the start of a response. It is checked before
/// the head is complete, since the end of the head might never arrive.
fn check_status_line(buffer: &[u8]) -> Result<(), HttpError> {
    let mut fields = [];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(buffer) {
        Ok(_) | Err(httparse::Error::TooManyHeaders) => parsed.code.map_or(Ok(()), check_status),
        Err(source) => Err(HttpError::MalformedHead { source }),
    }
}

fn check_status(status: u16) -> Result<(), HttpError> {
    if VALID_STATUSES.contains(&status) { Ok(()) } else { InvalidStatusSnafu { status }.fail() }
}

fn has_complete_head(buffer: &[u8], limit_bytes: usize) -> Result<bool, HttpError> {
    let is_complete = buffer.windows(4).any(|window| window == b"\r\n\r\n")
        || buffer.windows(2).any(|window| window == b"\n\n");
    if !is_complete {
        check_size(buffer.len(), limit_bytes)?;
    }
    Ok(is_complete)
}

/// Fails if something before the body of a message is too long.
pub(crate) fn check_size(length: usize, limit_bytes: usize) -> Result<(), HttpError> {
    if length > limit_bytes { HeadTooLargeSnafu { limit_bytes }.fail() } else { Ok(()) }
}

fn check_fields(headers: &Headers, limit: usize) -> Result<(), HttpError> {
    if headers.len() > limit { TooManyFieldsSnafu { limit }.fail() } else { Ok(()) }
}

/// Removes the empty lines at the start of the buffer, and returns how many bytes they had.
pub(crate) fn skip_empty_lines(buffer: &mut BytesMut) -> usize {
    let mut skipped_bytes = 0;
    loop {
        let line_bytes = match buffer.get(skipped_bytes..) {
            Some([b'\r', b'\n', ..]) => 2,
            Some([b'\n', ..]) => 1,
            _ => break,
        };
        skipped_bytes += line_bytes;
    }
    buffer.advance(skipped_bytes);
    skipped_bytes
}
