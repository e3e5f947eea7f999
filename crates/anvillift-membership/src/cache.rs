//! Compact encoding of cache events in heartbeats: eight bytes for each hash.

use anvillift_schema::membership::CacheUpdate;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::CacheEvent;

const HASH_BYTES: usize = 8;
/// Approximate size of an encoded event without its hashes.
const OVERHEAD_BYTES: u64 = 16;

/// Encodes an event of the upstream with the record `record_number`. Hashes that are not
/// hexadecimal are left out.
pub(crate) fn pack(record_number: u64, event: &CacheEvent) -> CacheUpdate {
    CacheUpdate((
        record_number,
        event.sequence,
        pack_hashes(&event.stored),
        pack_hashes(&event.evicted),
    ))
}

/// Decodes a packed list into hexadecimal hashes.
pub(crate) fn unpack(packed: &Payload) -> Vec<String> {
    let hashes = packed.chunks_exact(HASH_BYTES);
    hashes.map(|bytes| bytes.iter().map(|byte| format!("{byte:02x}")).collect()).collect()
}

/// Approximate size of an encoded event in a message.
pub(crate) fn size_bytes(update: &CacheUpdate) -> u64 {
    OVERHEAD_BYTES + (update.0.2.len() + update.0.3.len()) as u64
}

fn pack_hashes(hashes: &[String]) -> Payload {
    let numbers = hashes.iter().filter_map(|hash| u64::from_str_radix(hash, 16).ok());
    Payload::from(numbers.flat_map(u64::to_be_bytes).collect::<Vec<u8>>())
}
