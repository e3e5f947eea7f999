//! Hashes of API keys.
//!
//! Keys are stored and looked up as hashes only, so that neither the memory of a host nor
//! its logs contain a key.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Number of bytes of a hash that are shown in logs.
const SHOWN_BYTES: usize = 4;

/// SHA-256 hash of an API key. It is displayed as its first eight hexadecimal digits.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hash of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads a hash in hexadecimal.
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Hash of the key in an `Authorization` field, which consists of a scheme in upper or
    /// lower case, spaces and the key. `None` with another scheme or without a key.
    pub fn of_field(value: &[u8], scheme: &str) -> Option<Self> {
        let (stated_scheme, rest) = value.trim_ascii().split_at_checked(scheme.len())?;
        let key = rest.trim_ascii_start();
        let is_separated = key.len() < rest.len();
        let is_scheme = stated_scheme.eq_ignore_ascii_case(scheme.as_bytes());
        (is_scheme && is_separated && !key.is_empty()).then(|| Self::of(key))
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(&self.0[..SHOWN_BYTES]))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}
