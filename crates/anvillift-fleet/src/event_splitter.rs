//! Splits a stream of server-sent events at event boundaries.
//!
//! A worker may stop in the middle of an event. Only complete events are passed on,
//! so that another worker can continue the stream right after the last of them.

use bytes::{Bytes, BytesMut};

use crate::event_position;
use crate::event_position::EVENT_END;

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns all complete events in the buffer.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let searched_from = self.partial.len();
        self.partial.extend_from_slice(data);
        let range = searched_from..self.partial.len();
        let Some(end) = event_position::last_event_end(EVENT_END, &self.partial, range) else {
            return Bytes::new();
        };
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

    /// Drops the incomplete event in the buffer.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let field = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(field.trim_ascii()).ok().map(str::to_owned)
}
