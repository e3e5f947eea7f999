//! A serialised request.

use anvillift_http::RequestHead;
use bytes::Bytes;

/// Largest body that is copied behind the head, so that both are written at once, in bytes. A
/// larger one would take its memory twice.
const MAX_COPIED_BODY_BYTES: usize = 64 * 1024;
/// Memory reserved for a head, in bytes.
const HEAD_BYTES: usize = 1_024;

/// The bytes of a request, in two parts.
pub(super) struct RequestBytes {
    /// The head, with a small body.
    first: Vec<u8>,
    /// A large body.
    rest: Bytes,
}

impl RequestBytes {
    pub(super) fn new(head: &RequestHead, body: Bytes) -> Self {
        let is_copied = body.len() <= MAX_COPIED_BODY_BYTES;
        let copied_bytes = if is_copied { body.len() } else { 0 };
        let mut first = Vec::with_capacity(HEAD_BYTES + copied_bytes);
        head.write_to(&mut first);
        first.extend_from_slice(b"\r\n");
        if !is_copied {
            return Self { first, rest: body };
        }
        first.extend_from_slice(&body);
        Self { first, rest: Bytes::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Bytes that can be written next, after `sent_bytes` were written; empty at the end.
    pub(super) fn after(&self, sent_bytes: usize) -> &[u8] {
        match sent_bytes.checked_sub(self.first.len()) {
            Some(sent_of_rest) => &self.rest[sent_of_rest..],
            None => &self.first[sent_bytes..],
        }
    }
}
