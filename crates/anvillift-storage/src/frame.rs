//! Checksummed frames, the unit in which all files are written.
//!
//! A frame consists of a magic number, the length and the checksum of its
//! content, and the content in CBOR. The checksum also covers the storage id, so
//! that bytes which only look like a frame, such as a copy of another host's file
//! inside a command, are not accepted as one.

use anvillift_schema::name::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAGIC: [u8; 4] = *b"AvLf";
const HEADER_BYTES: usize = 12;
/// Maximum size of the content of a frame.
const MAX_CONTENT_BYTES: usize = 256 * 1024 * 1024;

/// Encodes and decodes the frames of one data folder.
#[derive(Clone, Debug)]
pub(crate) struct Framing {
    storage_id: Name,
}

/// Error that is returned if the bytes do not begin with a valid frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InvalidFrame;

impl Framing {
    /// Creates the codec for a folder with the given storage id.
    pub(crate) fn new(storage_id: Name) -> Self {
        Self { storage_id }
    }

    /// Encodes a value as a frame.
    pub(crate) fn encode(&self, content: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        ciborium::into_writer(content, &mut bytes).expect("writing to memory does not fail");
        let length = (bytes.len() - HEADER_BYTES) as u32;
        let checksum = self.checksum(length, &bytes[HEADER_BYTES..]);
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        bytes[8..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the frame at the start of the bytes, and returns its value and its
    /// size in bytes.
    pub(crate) fn decode<T: DeserializeOwned>(
        &self,
        bytes: &[u8],
    ) -> Result<(T, usize), InvalidFrame> {
        let content = self.content(bytes).ok_or(InvalidFrame)?;
        let value = ciborium::from_reader(content).map_err(|_| InvalidFrame)?;
        Ok((value, HEADER_BYTES + content.len()))
    }

    fn content<'b>(&self, bytes: &'b [u8]) -> Option<&'b [u8]> {
        let header = bytes.get(..HEADER_BYTES)?;
        let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
        let checksum = u32::from_le_bytes(header[8..].try_into().ok()?);
        if header[..4] != MAGIC || length as usize > MAX_CONTENT_BYTES {
            return None;
        }
        let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length as usize)?;
        (self.checksum(length, content) == checksum).then_some(content)
    }

    /// Finds the next valid frame at or after `from` and returns its offset.
    pub(crate) fn find_next(&self, bytes: &[u8], from: usize) -> Option<usize> {
        let rest = bytes.get(from..)?;
        let magic_matches =
            rest.windows(MAGIC.len()).enumerate().filter(|(_, window)| **window == MAGIC);
        let mut offsets = magic_matches.map(|(offset, _)| from + offset);
        offsets.find(|&offset| self.content(&bytes[offset..]).is_some())
    }

    fn checksum(&self, length: u32, content: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(self.storage_id.as_bytes());
        hasher.update(&length.to_le_bytes());
        hasher.update(content);
        hasher.finalize()
    }
}
