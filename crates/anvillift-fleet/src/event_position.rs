//! Position in a stream of server-sent events, relative to event boundaries.
//!
//! An event ends with an empty line. A stream that ends elsewhere was truncated,
//! however the end of its body was marked.

use std::ops::Range;

use crate::truncated_stream::{InsideEventSnafu, TruncatedStream, WithoutEventsSnafu};

/// Tracks whether the bytes received so far end with a complete event.
#[derive(Clone, Copy, Debug)]
pub struct EventPosition {
    partial_bytes: u64,
    received_bytes: u64,
    /// The last two bytes received.
    last: [u8; 2],
}

impl Default for EventPosition {
    fn default() -> Self {
        Self { partial_bytes: 0, received_bytes: 0, last: EVENT_END }
    }
}

impl EventPosition {
    /// Adds received bytes.
    pub fn advance(&mut self, data: &[u8]) {
        self.partial_bytes = match last_event_end(self.last, data, 0..data.len()) {
            Some(end) => (data.len() - end) as u64,
            None => self.partial_bytes + data.len() as u64,
        };
        self.received_bytes += data.len() as u64;
        for byte in data.iter().rev().take(2).rev() {
            self.last = [self.last[1], *byte];
        }
    }

    /// Number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> u64 {
        self.partial_bytes
    }

    /// Checks a stream whose body has ended. `is_end_declared` is whether its framing
    /// marked that end, by a length or a last chunk, so that a connection that closed
    /// early can't be taken for it.
    pub fn check_end(&self, is_end_declared: bool) -> Result<(), TruncatedStream> {
        if self.partial_bytes > 0 {
            return InsideEventSnafu { partial_bytes: self.partial_bytes }.fail();
        }
        if self.received_bytes == 0 && !is_end_declared {
            return WithoutEventsSnafu.fail();
        }
        Ok(())
    }
}

/// Bytes before the start of a stream, where an event may begin.
pub(crate) const EVENT_END: [u8; 2] = [b'\n', b'\n'];

/// Position in `bytes` after the last event that ends in `range`. `before` holds the
/// two bytes that precede `bytes`. Lines end with CR, LF or both.
pub(crate) fn last_event_end(before: [u8; 2], bytes: &[u8], range: Range<usize>) -> Option<usize> {
    // The search by position is slow, and a large part of one event has no line end.
    let searched = &bytes[range.clone()];
    if !searched.contains(&b'\n') && !searched.contains(&b'\r') {
        return None;
    }
    range.rev().find(|position| ends_event(before, bytes, *position)).map(|position| position + 1)
}

/// Position after the first event in `bytes`, which begin with an event.
pub(crate) fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let end = (0..bytes.len()).find(|position| ends_event([0; 2], bytes, *position))? + 1;
    // The line feed after CR CR belongs to the same end.
    let is_split = bytes[end - 1] == b'\r' && bytes.get(end) == Some(&b'\n');
    Some(end + usize::from(is_split))
}

/// Whether an event ends at a position of `bytes`. `before` are the two bytes before them.
fn ends_event(before: [u8; 2], bytes: &[u8], position: usize) -> bool {
    let byte_before = |distance: usize| match position.checked_sub(distance) {
        Some(index) => bytes[index],
        None => before[before.len() + position - distance],
    };
    let previous = byte_before(1);
    match bytes[position] {
        b'\n' if previous == b'\r' => byte_before(2) == b'\n',
        b'\n' => previous == b'\n',
        b'\r' => previous == b'\r',
        _ => false,
    }
}
