//! Reads the body of a request within limits on its size and on the time it takes.

use std::time::Duration;

use anvillift_schema::code::Code;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use salvo::http::{HeaderMap, ReqBody, header};
use tokio::time;

use crate::headers;
use crate::problem::Refusal;

/// Maximum buffer size that is reserved from the declared length alone, in bytes. A caller that
/// declares a large body must send it before memory is allocated for the rest.
const MAX_RESERVED_BYTES: u64 = 64 * 1024;

/// Returns the declared length of the body, or 0 if none is declared. A length above the limit is
/// refused before the body is read.
pub(crate) fn check_length(head: &HeaderMap, limit_bytes: u64) -> Result<u64, Refusal> {
    let Some(text) = headers::text(head, header::CONTENT_LENGTH.as_str()) else { return Ok(0) };
    let length: u64 = text.parse().map_err(|_| Code::MalformedRequest)?;
    if length > limit_bytes { Err(too_large(limit_bytes)) } else { Ok(length) }
}

/// Reads the complete body. `timeout_ms` bounds the total time, so that a slow sender is refused.
pub(crate) async fn read(
    body: ReqBody,
    expected_bytes: u64,
    limit_bytes: u64,
    timeout_ms: u64,
) -> Result<Bytes, Refusal> {
    let reading = collect(body, expected_bytes, limit_bytes);
    match time::timeout(Duration::from_millis(timeout_ms), reading).await {
        Ok(result) => result,
        Err(_) => Err(Code::SlowSender.into()),
    }
}

async fn collect(
    mut body: ReqBody,
    expected_bytes: u64,
    limit_bytes: u64,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::with_capacity(expected_bytes.min(MAX_RESERVED_BYTES) as usize);
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| Code::MalformedRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if (collected.len() + data.len()) as u64 > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn too_large(limit_bytes: u64) -> Refusal {
    Refusal::with_detail(
        Code::BodyTooLarge,
        format!("the body is larger than the limit of {limit_bytes} bytes"),
    )
}
