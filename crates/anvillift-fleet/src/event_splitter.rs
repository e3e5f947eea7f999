//! Splits a stream of server-sent events at event boundaries.
//!
//! A worker may stop in the middle of an event. Only complete events are passed on,
//! so that another worker can continue the stream right after the last of them.

use bytes::{Bytes, BytesMut};

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns all complete events in the buffer.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let searched_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial, searched_from) else { return Bytes::new() };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event in the buffer.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let last_end_of = |pattern: &[u8]| {
        let found = tail.windows(pattern.len()).rposition(|window| window == pattern);
        found.map(|start| from + start + pattern.len())
    };
    last_end_of(b"\n\n").max(last_end_of(b"\r\n\r\n"))
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let field = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(field.trim_ascii()).ok().map(str::to_owned)
}
