//! Byte strings that messages carry without interpretation.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteBuf;

/// Opaque bytes, encoded as a byte string in CBOR instead of an array of numbers. Clones share
/// the bytes: a log entry may be a configuration of several megabytes that is kept in memory,
/// written to disk and sent at the same time.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, derive_more::Deref, derive_more::From, derive_more::Into,
)]
#[from(Bytes, Vec<u8>)]
#[into(Bytes, Vec<u8>)]
pub struct Payload(Bytes);

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = ByteBuf::deserialize(deserializer)?;
        Ok(Self::from(bytes.into_vec()))
    }
}
