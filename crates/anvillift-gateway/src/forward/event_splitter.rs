//! Where server-sent events end in a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
const DATA_FIELD: &[u8] = b"data:";
const LAST_DATA: &[u8] = b"[DONE]";

/// An event is longer than any that is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Gives whole events out, counts them, and keeps the rest.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    data_events: u64,
    done: bool,
}

impl EventSplitter {
    /// Data events given out.
    pub fn data_events(&self) -> u64 {
        self.data_events
    }

    /// Whether the event that ends a whole answer was given out.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Takes bytes and gives the whole events out, if there are any.
    pub fn feed(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLong> {
        let chunk = if self.rest.is_empty() {
            chunk
        } else {
            self.rest.extend_from_slice(&chunk);
            self.rest.split().freeze()
        };
        let end = self.count(&chunk);
        if end < chunk.len() {
            self.rest.extend_from_slice(&chunk[end..]);
        }
        if self.rest.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(chunk.slice(..end))
    }

    /// Drops the beginning of an event that broke off.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// Counts the whole events and gives the position after the last.
    fn count(&mut self, bytes: &[u8]) -> usize {
        let mut event_start = 0;
        let mut line_start = 0;
        let mut has_data = false;
        for (position, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            let line = bytes[line_start..position].trim_ascii_end();
            line_start = position + 1;
            if let Some(data) = line.strip_prefix(DATA_FIELD) {
                has_data = true;
                self.done |= data.trim_ascii() == LAST_DATA;
            } else if line.is_empty() {
                self.data_events += u64::from(has_data);
                has_data = false;
                event_start = line_start;
            }
        }
        event_start
    }
}
