//! Keys of experiments. They guard nothing.

use sha2::{Digest, Sha256};

/// Key of the callers' team.
pub const CALLER_KEY: &str = "bench-caller";
/// Key of the team that floods.
pub const FLOOD_KEY: &str = "bench-flood";
/// Key of upstreams.
pub const UPSTREAM_KEY: &str = "bench-upstream";
/// Key of operators.
pub const OPERATOR_KEY: &str = "bench-operator";
/// Key of the links between hosts.
pub const LINK_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// SHA-256 of a key, in hexadecimal.
pub fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
