//! Incremental decoder of bodies with the chunked transfer coding.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::{HttpError, MalformedChunkSnafu};

/// Longest line with a chunk size or a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 1_024;
/// Most trailer fields of a body; they are read and dropped.
const MAX_TRAILERS: usize = 32;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
    Done,
}

/// Result of decoding the buffered bytes.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Decoded {
    Data(Bytes),
    NeedsMore,
    End,
}

/// Decodes a chunked body as its bytes arrive. Malformed chunks are refused rather
/// than interpreted leniently.
#[derive(Debug)]
pub(crate) struct ChunkedDecoder {
    state: State,
}

impl ChunkedDecoder {
    pub(crate) fn new() -> Self {
        Self { state: State::Size }
    }

    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, HttpError> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buffer)? else { return Ok(Decoded::NeedsMore) };
                    let size = parse_size(&line)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
                }
                State::Data(remaining_bytes) => {
                    if buffer.is_empty() {
                        return Ok(Decoded::NeedsMore);
                    }
                    let taken = remaining_bytes.min(buffer.len() as u64);
                    let data = buffer.split_to(taken as usize).freeze();
                    let remaining_bytes = remaining_bytes - taken;
                    self.state = if remaining_bytes == 0 {
                        State::DataEnd
                    } else {
                        State::Data(remaining_bytes)
                    };
                    return Ok(Decoded::Data(data));
                }
                State::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(Decoded::NeedsMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return MalformedChunkSnafu.fail();
                    }
                    buffer.advance(2);
                    self.state = State::Size;
                }
                State::Trailers(count) => {
                    let Some(line) = take_line(buffer)? else { return Ok(Decoded::NeedsMore) };
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false if count < MAX_TRAILERS => State::Trailers(count + 1),
                        false => return MalformedChunkSnafu.fail(),
                    };
                }
                State::Done => return Ok(Decoded::End),
            }
        }
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES { MalformedChunkSnafu.fail() } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MAX_LINE_BYTES {
        return MalformedChunkSnafu.fail();
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_hex =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let size = std::str::from_utf8(digits).ok().and_then(|text| u64::from_str_radix(text, 16).ok());
    match size.filter(|_| is_hex) {
        Some(size) => Ok(size),
        None => MalformedChunkSnafu.fail(),
    }
}
