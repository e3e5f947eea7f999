//! Splits a stream of events into whole ones.
//!
//! A worker may stop in the middle of an event. Only whole events are passed
//! on, so that a stream that goes on at another worker continues right after
//! the last of them.

use bytes::{Bytes, BytesMut};

/// Holds back what is not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and gives the whole events among what is held.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let searched_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial, searched_from) else { return Bytes::new() };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the part of an event that is held back.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let ends = |pattern: &[u8]| {
        let found = tail.windows(pattern.len()).rposition(|window| window == pattern);
        found.map(|start| from + start + pattern.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let field = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(field.trim_ascii()).ok().map(str::to_owned)
}
