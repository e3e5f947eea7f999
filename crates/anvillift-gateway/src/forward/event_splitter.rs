//! Splits a stream of bytes into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
const DATA_FIELD: &[u8] = b"data:";
const END_MARKER: &[u8] = b"[DONE]";

/// An event exceeds the maximum size of 256 KiB.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Returns complete events, counts them, and buffers the start of an incomplete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    data_events: u64,
    done: bool,
}

impl EventSplitter {
    /// Number of events with a data field that have been returned.
    pub fn data_events(&self) -> u64 {
        self.data_events
    }

    /// Whether the event that marks the end of a complete answer, `[DONE]`, has been returned.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Adds bytes and returns the events that they complete; empty if there are none. An incomplete
    /// event above the maximum size is an error.
    pub fn feed(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLong> {
        let chunk = if self.incomplete.is_empty() {
            chunk
        } else {
            self.incomplete.extend_from_slice(&chunk);
            self.incomplete.split().freeze()
        };
        let end = self.count_complete(&chunk);
        if end < chunk.len() {
            self.incomplete.extend_from_slice(&chunk[end..]);
        }
        if self.incomplete.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(chunk.slice(..end))
    }

    /// Discards the buffered start of an event whose end was lost with the connection.
    pub fn discard_incomplete(&mut self) {
        self.incomplete.clear();
    }

    /// Counts the complete events and returns the position after the last one.
    fn count_complete(&mut self, bytes: &[u8]) -> usize {
        let mut event_start = 0;
        let mut line_start = 0;
        let mut has_data = false;
        for (position, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            let line = bytes[line_start..position].trim_ascii_end();
            line_start = position + 1;
            if let Some(data) = line.strip_prefix(DATA_FIELD) {
                has_data = true;
                self.done |= data.trim_ascii() == END_MARKER;
            } else if line.is_empty() {
                self.data_events += u64::from(has_data);
                has_data = false;
                event_start = line_start;
            }
        }
        event_start
    }
}
