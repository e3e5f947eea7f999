//! Compression of configuration documents.
//!
//! Documents are stored and sent deflated, since a large configuration crosses
//! links between regions and goes to every entry host.

use std::io;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest uncompressed document, in bytes. A longer one is cut off here when it is unpacked.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Compresses a document.
pub fn pack(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    encoder.finish()
}

/// Decompresses a document while it is read.
pub fn reader(packed: &[u8]) -> impl Read {
    DeflateDecoder::new(packed).take(MAX_BYTES)
}

/// Decompresses a document of at most `max_bytes`; `None` if it is larger.
pub fn unpack_small(packed: &[u8], max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    if packed.len() > max_bytes {
        return Ok(None);
    }
    let mut document = Vec::new();
    DeflateDecoder::new(packed).take(max_bytes as u64 + 1).read_to_end(&mut document)?;
    Ok(Some(document).filter(|document| document.len() <= max_bytes))
}

/// Decompresses a document. Fails if the data are not a valid deflate stream.
pub fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    reader(packed).read_to_end(&mut document)?;
    Ok(document)
}
