//! Opaque bytes in messages.

/// Bytes carried without being read; a byte string in CBOR.
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
