//! Seeds of random choices.

/// A seed that differs between hosts, also where they start in the same
/// millisecond: equal seeds would draw equal election timeouts for ever.
pub fn of_host(name: &str, boot: u64) -> u64 {
    mix(hash(name.as_bytes()) ^ mix(boot))
}

/// FNV-1a, which every host computes alike.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Spreads neighbouring values over the whole range.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
