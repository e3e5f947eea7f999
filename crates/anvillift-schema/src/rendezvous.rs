//! Rendezvous hashing, with the same result on every host.
//!
//! Each name gets a rank for a key, and the names with the highest ranks own the
//! key. Adding or removing a name moves only the keys that this name owns.

/// 64-bit FNV-1a hash.
pub fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Mixes the bits so that each input bit affects every output bit, with the
/// finalizer of SplitMix64.
pub fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Rank of a name for a key; the names with the highest ranks own the key.
pub fn rank(key: u64, name: &str) -> u64 {
    mix(key ^ hash(name.as_bytes()))
}
