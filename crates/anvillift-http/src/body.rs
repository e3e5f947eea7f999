//! The reader of one body.

use bytes::{Bytes, BytesMut};

use crate::chunked::{ChunkedDecoder, Decoded};
use crate::error::HttpError;
use crate::framing::Framing;

#[derive(Debug)]
enum Rest {
    Length(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
}

/// Reads one body as its bytes arrive; it holds no bytes itself.
#[derive(Debug)]
pub struct BodyReader {
    rest: Rest,
    ended: bool,
}

/// What a body gives for the bytes at hand.
pub(crate) enum Step {
    Data(Bytes),
    NeedsMore,
    End,
}

impl BodyReader {
    /// A reader of a body that is framed so.
    pub fn new(framing: Framing) -> Self {
        let rest = match framing {
            Framing::None => Rest::Length(0),
            Framing::Length(bytes) => Rest::Length(bytes),
            Framing::Chunked => Rest::Chunked(ChunkedDecoder::new()),
            Framing::UntilClose => Rest::UntilClose,
        };
        Self { rest, ended: false }
    }

    /// Whether the body has been read to its end.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether the end of the connection is the end of the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        matches!(self.rest, Rest::UntilClose)
    }

    pub(crate) fn end_with_connection(&mut self) {
        self.ended = true;
    }

    pub(crate) fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, HttpError> {
        let step = match &mut self.rest {
            Rest::Length(0) => Step::End,
            _ if self.ended => Step::End,
            Rest::Length(left) if !buffer.is_empty() => {
                let taken = (*left).min(buffer.len() as u64);
                *left -= taken;
                Step::Data(buffer.split_to(taken as usize).freeze())
            }
            Rest::UntilClose if !buffer.is_empty() => Step::Data(buffer.split().freeze()),
            Rest::Length(_) | Rest::UntilClose => Step::NeedsMore,
            Rest::Chunked(decoder) => match decoder.decode(buffer)? {
                Decoded::Data(data) => Step::Data(data),
                Decoded::NeedsMore => Step::NeedsMore,
                Decoded::End => Step::End,
            },
        };
        self.ended |= matches!(step, Step::End);
        Ok(step)
    }
}
