//! Byte strings that messages carry without interpretation.

/// Opaque bytes, encoded as a byte string in CBOR instead of an array of numbers.
#[derive(
    Clone,
    Debug,
    Default,
    Eq,
    PartialEq,
    derive_more::Deref,
    derive_more::From,
    derive_more::Into,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Payload(#[serde(with = "serde_bytes")] Vec<u8>);
