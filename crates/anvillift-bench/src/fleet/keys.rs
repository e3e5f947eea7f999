//! Fixed keys of experiments and the quickstart.
//!
//! They are public test values and must not be used in a real deployment.

use sha2::{Digest, Sha256};

/// Bearer key of the team that ordinary callers belong to.
pub const CALLER_KEY: &str = "bench-caller";
/// Bearer key of the team that exceeds its limit in the flood run.
pub const FLOOD_KEY: &str = "bench-flood";
/// Bearer key with which stand-ins announce themselves.
pub const UPSTREAM_KEY: &str = "bench-upstream";
/// Bearer key for the operator interface of the hosts.
pub const OPERATOR_KEY: &str = "bench-operator";
/// Shared key of the links between hosts, in hexadecimal.
pub const LINK_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// SHA-256 of a key in hexadecimal, as hosts store it in their settings.
pub fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
