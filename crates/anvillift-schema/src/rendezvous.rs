//! Rankings that every host computes alike.
//!
//! Rendezvous hashing: each name gets a rank for a key, and the highest ranks
//! are the key's. A name that comes or goes moves only the keys that it holds.

/// FNV-1a.
pub fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Spreads each bit over all (the finalizer of SplitMix64).
pub fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Rank of a name for a key.
pub fn rank(key: u64, name: &str) -> u64 {
    mix(key ^ hash(name.as_bytes()))
}
