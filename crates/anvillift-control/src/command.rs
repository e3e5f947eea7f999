//! Commands and answers in bytes.

use anvillift_schema::configuration::{ControlAnswer, ControlCommand};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// A value in CBOR.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// A command, unless the bytes are none.
pub fn decode_command(bytes: &[u8]) -> Option<ControlCommand> {
    ciborium::from_reader(bytes).ok()
}

/// An answer, unless the bytes are none.
pub fn decode_answer(bytes: &[u8]) -> Option<ControlAnswer> {
    ciborium::from_reader(bytes).ok()
}

/// SHA-256 of a value, in lower-case hexadecimal.
pub(crate) fn digest(value: &impl Serialize) -> String {
    hex::encode(Sha256::digest(encode(value)))
}
