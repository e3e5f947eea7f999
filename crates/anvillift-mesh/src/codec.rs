//! Encodes and decodes link frames as CBOR.

use anvillift_schema::link::LinkFrame;
use bytes::Bytes;

use crate::error::LinkError;

/// Nesting depth beyond which a frame is rejected, to bound the recursion.
const MAX_DEPTH: usize = 64;

/// Encodes a frame as the payload of one WebSocket message.
pub(crate) fn encode(frame: &LinkFrame) -> Bytes {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).expect("every frame can be encoded as CBOR");
    Bytes::from(bytes)
}

/// Decodes the payload of one WebSocket message.
pub(crate) fn decode(bytes: &[u8]) -> Result<LinkFrame, LinkError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|error| LinkError::Decode { reason: error.to_string() })
}
