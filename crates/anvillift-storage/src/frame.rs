//! Checksummed frames.
//!
//! A frame is a mark, the length and checksum of its content, and the content
//! in CBOR. The checksum covers the storage id, so that no bytes that merely
//! look like a frame, as within a command, are taken for one.

use anvillift_schema::name::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;

const MARK: [u8; 4] = *b"AvLf";
const HEAD_BYTES: usize = 12;
/// Largest content of a frame.
const MAX_CONTENT_BYTES: usize = 256 * 1024 * 1024;

/// Writes and reads the frames of one data folder.
#[derive(Clone, Debug)]
pub(crate) struct Framing {
    storage_id: Name,
}

/// The bytes at an offset are no frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BadFrame;

impl Framing {
    /// Frames of a folder with a storage id.
    pub(crate) fn new(storage_id: Name) -> Self {
        Self { storage_id }
    }

    /// A frame with a content.
    pub(crate) fn encode(&self, content: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        ciborium::into_writer(content, &mut bytes).expect("writing to memory does not fail");
        let length = (bytes.len() - HEAD_BYTES) as u32;
        let checksum = self.checksum(length, &bytes[HEAD_BYTES..]);
        bytes[..4].copy_from_slice(&MARK);
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        bytes[8..HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The content of the frame at the start of the bytes, and its size.
    pub(crate) fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<(T, usize), BadFrame> {
        let content = self.content(bytes).ok_or(BadFrame)?;
        let value = ciborium::from_reader(content).map_err(|_| BadFrame)?;
        Ok((value, HEAD_BYTES + content.len()))
    }

    fn content<'b>(&self, bytes: &'b [u8]) -> Option<&'b [u8]> {
        let head = bytes.get(..HEAD_BYTES)?;
        let length = u32::from_le_bytes(head[4..8].try_into().ok()?);
        let checksum = u32::from_le_bytes(head[8..].try_into().ok()?);
        if head[..4] != MARK || length as usize > MAX_CONTENT_BYTES {
            return None;
        }
        let content = bytes.get(HEAD_BYTES..HEAD_BYTES + length as usize)?;
        (self.checksum(length, content) == checksum).then_some(content)
    }

    /// Offset of the next good frame.
    pub(crate) fn find(&self, bytes: &[u8], from: usize) -> Option<usize> {
        let rest = bytes.get(from..)?;
        let marks = rest.windows(MARK.len()).enumerate().filter(|(_, window)| **window == MARK);
        let mut offsets = marks.map(|(offset, _)| from + offset);
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
