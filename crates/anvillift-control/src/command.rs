//! CBOR encoding of commands and answers, and digests of them.

use anvillift_schema::configuration::{ControlAnswer, ControlCommand};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Encodes a value as CBOR.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoding into a vector cannot fail");
    bytes
}

/// Decodes a command; `None` if the bytes are not a valid command.
pub fn decode_command(bytes: &[u8]) -> Option<ControlCommand> {
    ciborium::from_reader(bytes).ok()
}

/// Decodes an answer; `None` if the bytes are not a valid answer.
pub fn decode_answer(bytes: &[u8]) -> Option<ControlAnswer> {
    ciborium::from_reader(bytes).ok()
}

/// SHA-256 of the CBOR encoding of a value, in lower-case hexadecimal.
pub(crate) fn digest(value: &impl Serialize) -> String {
    hex::encode(Sha256::digest(encode(value)))
}
