//! Reading a request's body within its bounds.

use std::time::Duration;

use anvillift_schema::code::Code;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use salvo::http::{HeaderMap, ReqBody, header};
use tokio::time;

use crate::headers;
use crate::problem::Refusal;

/// Room made for a body before its bytes have come, in bytes.
const MAX_RESERVED_BYTES: u64 = 64 * 1024;

/// Length of the body told by the head; more than the limit is refused at once.
pub(crate) fn check_length(head: &HeaderMap, limit_bytes: u64) -> Result<u64, Refusal> {
    let Some(text) = headers::text(head, header::CONTENT_LENGTH.as_str()) else { return Ok(0) };
    let length: u64 = text.parse().map_err(|_| Code::MalformedRequest)?;
    if length > limit_bytes { Err(too_large(limit_bytes)) } else { Ok(length) }
}

/// Reads the whole body; `timeout_ms` bounds the whole.
pub(crate) async fn read(
    body: ReqBody,
    expected_bytes: u64,
    limit_bytes: u64,
    timeout_ms: u64,
) -> Result<Bytes, Refusal> {
    let whole = collect(body, expected_bytes, limit_bytes);
    match time::timeout(Duration::from_millis(timeout_ms), whole).await {
        Ok(result) => result,
        Err(_) => Err(Code::SlowSender.into()),
    }
}

async fn collect(
    mut body: ReqBody,
    expected_bytes: u64,
    limit_bytes: u64,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::with_capacity(expected_bytes.min(MAX_RESERVED_BYTES) as usize);
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| Code::MalformedRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if (whole.len() + data.len()) as u64 > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn too_large(limit_bytes: u64) -> Refusal {
    Refusal::with_detail(Code::BodyTooLarge, format!("at most {limit_bytes} bytes are taken"))
}
