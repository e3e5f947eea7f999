//! One HTTP/1.1 connection over a TCP socket, to a caller or to an upstream.

use std::future;
use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::coop;

use crate::body::{BodyReader, Step};
use crate::error::{BodyTooLargeSnafu, ClosedSnafu, HttpError, IncompleteSnafu};
use crate::head::{RequestHead, ResponseHead};
use crate::head_limits::HeadLimits;
use crate::parse;
use crate::progress::Progress;

/// Buffer space reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Most bytes of pipelined requests that are buffered while a request is served.
/// Once the buffer holds more, nothing is read, so a close by the caller isn't
/// detected.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// A socket with the bytes that were read but not yet parsed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Size of the empty lines since the last head.
    empty_line_bytes: usize,
    peer: Option<SocketAddr>,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        let peer = stream.peer_addr().ok();
        Self { stream, buffer: BytesMut::new(), empty_line_bytes: 0, peer }
    }

    /// Address of the peer, or `None` if it could not be determined when the
    /// connection was created.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Whether bytes were read that are not yet parsed.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for bytes and reads them into the buffer. Returns their number, which
    /// is 0 if the peer has closed the connection. Yields to other tasks now and then,
    /// since a fast peer may always have sent more.
    pub async fn fill(&mut self) -> io::Result<usize> {
        coop::consume_budget().await;
        loop {
            self.stream.readable().await?;
            self.buffer.reserve(READ_BUFFER_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                result => return result,
            }
        }
    }

    /// Reads the head of a request. Fails with [`HttpError::Closed`] if the caller
    /// closed the connection between two requests.
    pub async fn read_request(&mut self, limits: HeadLimits) -> Result<RequestHead, HttpError> {
        loop {
            self.skip_empty_lines(limits)?;
            if let Some(head) = parse::request(&mut self.buffer, limits)? {
                self.empty_line_bytes = 0;
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() {
                    ClosedSnafu.fail()
                } else {
                    IncompleteSnafu.fail()
                };
            }
        }
    }

    /// Parses the head of a response, or returns `None` if the buffer doesn't hold
    /// the entire head yet.
    pub fn parse_response(
        &mut self,
        limits: HeadLimits,
    ) -> Result<Option<ResponseHead>, HttpError> {
        self.skip_empty_lines(limits)?;
        let head = parse::response(&mut self.buffer, limits)?;
        if head.is_some() {
            self.empty_line_bytes = 0;
        }
        Ok(head)
    }

    /// Removes empty lines before a head. All of them together may be as long as a head.
    fn skip_empty_lines(&mut self, limits: HeadLimits) -> Result<(), HttpError> {
        self.empty_line_bytes += parse::skip_empty_lines(&mut self.buffer);
        parse::check_size(self.empty_line_bytes, limits.bytes)
    }

    /// Reads the next bytes of a body, or returns `None` at its end.
    pub async fn read_body(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, HttpError> {
        loop {
            match body.step(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedsMore => (),
            }
            if self.fill().await? == 0 {
                if body.is_until_close() {
                    body.mark_complete();
                    return Ok(None);
                }
                return IncompleteSnafu.fail();
            }
        }
    }

    /// Reads a body to its end. Fails if it is larger than `limit_bytes`.
    pub async fn read_full_body(
        &mut self,
        body: &mut BodyReader,
        limit_bytes: u64,
    ) -> Result<Bytes, HttpError> {
        let mut collected = BytesMut::new();
        while let Some(data) = self.read_body(body).await? {
            if (collected.len() + data.len()) as u64 > limit_bytes {
                return BodyTooLargeSnafu { limit_bytes }.fail();
            }
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }

    /// Writes as many bytes as the socket accepts without waiting. Returns their
    /// number, which may be 0.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Writes some of `bytes` or reads arriving bytes into the buffer, whichever is
    /// possible first. With empty `bytes` it only reads. Yields like [`fill`](Self::fill).
    pub async fn write_or_read(&mut self, bytes: &[u8]) -> io::Result<Progress> {
        coop::consume_budget().await;
        let interest = match bytes.is_empty() {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        loop {
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() {
                self.buffer.reserve(READ_BUFFER_BYTES);
                match self.stream.try_read_buf(&mut self.buffer) {
                    Ok(0) => return Ok(Progress::Closed),
                    Ok(_) => return Ok(Progress::Read),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                    Err(error) => return Err(error),
                }
            }
            if ready.is_writable() && !bytes.is_empty() {
                let written_bytes = self.try_write(bytes)?;
                if written_bytes > 0 {
                    return Ok(Progress::Wrote(written_bytes));
                }
            }
        }
    }

    /// Writes all of `bytes`, waiting while the send buffer of the socket is full.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.try_write(bytes)?;
            bytes = &bytes[written..];
            if !bytes.is_empty() {
                self.stream.writable().await?;
            }
        }
        Ok(())
    }

    /// Waits until the peer closes the connection. Bytes that arrive meanwhile are
    /// buffered for the next request.
    pub async fn wait_for_close(&mut self) {
        loop {
            if self.buffer.len() > MAX_PIPELINED_BYTES {
                return future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => (),
            }
        }
    }

    /// Reads and discards bytes until the peer closes the connection.
    pub async fn discard_until_close(&mut self) {
        loop {
            self.buffer.clear();
            if let Ok(0) | Err(_) = self.fill().await {
                return;
            }
        }
    }

    /// Whether an idle connection can't be reused: its peer has closed it, or has
    /// sent bytes without a request.
    pub fn is_stale(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let mut probe = [0; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Makes the drop of the connection send a reset, so that the peer does not
    /// take an incomplete message for a complete one.
    pub fn reset_on_drop(&self) {
        // If the option can't be set, the connection is still closed, before the end
        // of the message.
        self.stream.set_zero_linger().ok();
    }

    /// Undoes [`reset_on_drop`](Self::reset_on_drop): the drop ends the connection after
    /// the bytes that were written.
    pub fn close_on_drop(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(None)
    }
}
