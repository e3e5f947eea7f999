//! Documents as they are stored and sent: deflated, since a large configuration
//! passes between regions and to every entry host.

use std::io;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest document, in bytes.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Packs a document.
pub fn pack(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    encoder.finish()
}

/// Unpacks a document, byte for byte as it was packed.
pub fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    DeflateDecoder::new(packed).take(MAX_BYTES).read_to_end(&mut document)?;
    Ok(document)
}
