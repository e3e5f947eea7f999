//! Cache events in the form in which hosts tell them: eight bytes a hash.

use anvillift_schema::membership::CacheNews;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::CacheEvent;

const HASH_BYTES: usize = 8;
/// Bytes of an event beside its hashes.
const OVERHEAD_BYTES: u64 = 16;

/// The compact form of an event; hashes that are not hexadecimal are left out.
pub(crate) fn pack(number: u64, event: &CacheEvent) -> CacheNews {
    CacheNews((number, event.sequence, pack_hashes(&event.stored), pack_hashes(&event.evicted)))
}

/// The hashes of a packed list, in hexadecimal.
pub(crate) fn unpack(packed: &Payload) -> Vec<String> {
    let hashes = packed.chunks_exact(HASH_BYTES);
    hashes.map(|bytes| bytes.iter().map(|byte| format!("{byte:02x}")).collect()).collect()
}

/// About how many bytes an event takes in a message.
pub(crate) fn size_bytes(news: &CacheNews) -> u64 {
    OVERHEAD_BYTES + (news.0.2.len() + news.0.3.len()) as u64
}

fn pack_hashes(hashes: &[String]) -> Payload {
    let numbers = hashes.iter().filter_map(|hash| u64::from_str_radix(hash, 16).ok());
    Payload::from(numbers.flat_map(u64::to_be_bytes).collect::<Vec<u8>>())
}
