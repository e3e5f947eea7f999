//! Incremental reader of one message body.

use bytes::{Bytes, BytesMut};

use crate::chunked::{ChunkedDecoder, Decoded};
use crate::error::HttpError;
use crate::framing::Framing;

#[derive(Debug)]
enum Remaining {
    Length(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
}

/// Reads one body as its bytes arrive. It tracks the position only; the bytes are
/// taken from the buffer of the [`Connection`](crate::Connection).
#[derive(Debug)]
pub struct BodyReader {
    remaining: Remaining,
    is_complete: bool,
}

/// Result of reading from the buffered bytes.
pub(crate) enum Step {
    Data(Bytes),
    NeedsMore,
    End,
}

impl BodyReader {
    /// Creates a reader for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::None => Remaining::Length(0),
            Framing::Length(bytes) => Remaining::Length(bytes),
            Framing::Chunked => Remaining::Chunked(ChunkedDecoder::new()),
            Framing::UntilClose => Remaining::UntilClose,
        };
        Self { remaining, is_complete: false }
    }

    /// Whether the body has been read to its end. False after an error.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the body ends where the connection is closed.
    pub(crate) fn is_until_close(&self) -> bool {
        matches!(self.remaining, Remaining::UntilClose)
    }

    pub(crate) fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    pub(crate) fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, HttpError> {
        let step = match &mut self.remaining {
            Remaining::Length(0) => Step::End,
            _ if self.is_complete => Step::End,
            Remaining::Length(remaining_bytes) if !buffer.is_empty() => {
                let taken = (*remaining_bytes).min(buffer.len() as u64);
                *remaining_bytes -= taken;
                Step::Data(buffer.split_to(taken as usize).freeze())
            }
            Remaining::UntilClose if !buffer.is_empty() => Step::Data(buffer.split().freeze()),
            Remaining::Length(_) | Remaining::UntilClose => Step::NeedsMore,
            Remaining::Chunked(decoder) => match decoder.decode(buffer)? {
                Decoded::Data(data) => Step::Data(data),
                Decoded::NeedsMore => Step::NeedsMore,
                Decoded::End => Step::End,
            },
        };
        self.is_complete |= matches!(step, Step::End);
        Ok(step)
    }
}
