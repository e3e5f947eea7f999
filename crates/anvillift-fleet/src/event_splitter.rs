//! Splits a stream of server-sent events at event boundaries.
//!
//! A worker may stop in the middle of an event. Only complete events are passed on,
//! so that another worker can continue the stream right after the last of them. What it sends
//! first must have a later id: anything else, like the text of an error, is not that stream.

use bytes::{Bytes, BytesMut};

use crate::event_position::EVENT_END;
use crate::truncated_stream::NotContinuedSnafu;
use crate::{TruncatedStream, event_position};

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether the next events come from a worker that resumes the stream.
    is_resuming: bool,
}

impl EventSplitter {
    /// Adds received bytes and returns all complete events in the buffer. Fails if the first event
    /// of a resumed stream does not continue it.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, TruncatedStream> {
        let searched_from = self.partial.len();
        self.partial.extend_from_slice(data);
        let range = searched_from..self.partial.len();
        let Some(end) = event_position::last_event_end(EVENT_END, &self.partial, range) else {
            return Ok(Bytes::new());
        };
        let complete = self.partial.split_to(end).freeze();
        if self.is_resuming {
            self.check_continued(&complete)?;
        }
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the incomplete event in the buffer. What follows comes from another worker, which
    /// begins anew if no event with an id has been passed on.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.is_resuming = self.last_id.is_some();
    }

    /// Checks the first event of a resumed stream; comments before it are no events.
    fn check_continued(&mut self, mut events: &[u8]) -> Result<(), TruncatedStream> {
        while let Some(end) = event_position::first_event_end(events) {
            let (event, rest) = events.split_at(end);
            let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
            if lines.clone().all(|line| line.is_empty() || line.starts_with(b":")) {
                events = rest;
                continue;
            }
            let id = lines.find_map(event_id);
            let is_later =
                id.zip(self.last_id.as_ref()).is_some_and(|(id, last)| is_after(&id, last));
            if !is_later {
                return NotContinuedSnafu.fail();
            }
            self.is_resuming = false;
            return Ok(());
        }
        Ok(())
    }
}

/// Whether an event follows the one with the id `last`. Ids that are no numbers must differ.
fn is_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    events.rsplit(|byte| matches!(byte, b'\n' | b'\r')).find_map(event_id)
}

/// The id that a line states.
fn event_id(line: &[u8]) -> Option<String> {
    let field = line.strip_prefix(b"id:")?;
    std::str::from_utf8(field.trim_ascii()).ok().map(str::to_owned)
}
