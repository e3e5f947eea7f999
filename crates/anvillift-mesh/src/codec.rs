//! Frames as bytes.

use anvillift_schema::link::LinkFrame;
use bytes::Bytes;

use crate::error::LinkError;

/// Nested values deeper than this are refused.
const MAX_DEPTH: usize = 64;

/// Encodes a frame as CBOR.
pub(crate) fn encode(frame: &LinkFrame) -> Bytes {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).expect("a frame has a CBOR form");
    Bytes::from(bytes)
}

/// Decodes a frame from CBOR.
pub(crate) fn decode(bytes: &[u8]) -> Result<LinkFrame, LinkError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|error| LinkError::Decode { reason: error.to_string() })
}
