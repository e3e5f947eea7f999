//! One connection, to a caller or to an upstream.

use std::future;
use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::body::{BodyReader, Step};
use crate::error::{BodyTooLargeSnafu, ClosedSnafu, HttpError, IncompleteSnafu};
use crate::head::{RequestHead, ResponseHead};
use crate::parse;
use crate::progress::Progress;

/// Room made for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Bytes held of what a caller sends ahead while its request is served.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// A connection with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    peer: Option<SocketAddr>,
}

impl Connection {
    /// Takes over a socket.
    pub fn new(stream: TcpStream) -> Self {
        let peer = stream.peer_addr().ok();
        Self { stream, buffer: BytesMut::new(), peer }
    }

    /// Address of the other end.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Whether bytes wait to be used.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads what is there, or waits for it; 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                result => return result,
            }
        }
    }

    /// Reads the head of a request. [`HttpError::Closed`] says that the
    /// caller ended the connection between two requests.
    pub async fn read_request(&mut self, limit_bytes: usize) -> Result<RequestHead, HttpError> {
        loop {
            if let Some(head) = parse::request(&mut self.buffer, limit_bytes)? {
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

    /// Takes the head of a response if it has been read whole.
    pub fn parse_response(
        &mut self,
        limit_bytes: usize,
    ) -> Result<Option<ResponseHead>, HttpError> {
        parse::response(&mut self.buffer, limit_bytes)
    }

    /// The next part of a body, or nothing at its end.
    pub async fn read_body(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, HttpError> {
        loop {
            match body.step(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedsMore => (),
            }
            if self.fill().await? == 0 {
                if body.ends_with_connection() {
                    body.end_with_connection();
                    return Ok(None);
                }
                return IncompleteSnafu.fail();
            }
        }
    }

    /// Reads a whole body of limited size.
    pub async fn read_whole(
        &mut self,
        body: &mut BodyReader,
        limit_bytes: u64,
    ) -> Result<Bytes, HttpError> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.read_body(body).await? {
            if (whole.len() + data.len()) as u64 > limit_bytes {
                return BodyTooLargeSnafu { limit_bytes }.fail();
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    /// Writes what the socket takes now; 0 when it takes nothing.
    pub fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Writes some of `bytes` or reads what arrives, whichever comes first.
    pub async fn progress(&mut self, bytes: &[u8]) -> io::Result<Progress> {
        let interest = match bytes.is_empty() {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        loop {
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() {
                self.buffer.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.buffer) {
                    Ok(0) => return Ok(Progress::Ended),
                    Ok(_) => return Ok(Progress::Read),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                    Err(error) => return Err(error),
                }
            }
            if ready.is_writable() && !bytes.is_empty() {
                let written_bytes = self.write_now(bytes)?;
                if written_bytes > 0 {
                    return Ok(Progress::Wrote(written_bytes));
                }
            }
        }
    }

    /// Writes everything.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.write_now(bytes)?;
            bytes = &bytes[written..];
            if !bytes.is_empty() {
                self.stream.writable().await?;
            }
        }
        Ok(())
    }

    /// Returns when the other end leaves; what it sends ahead is kept.
    pub async fn departed(&mut self) {
        loop {
            if self.buffer.len() > MAX_AHEAD_BYTES {
                return future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => (),
            }
        }
    }

    /// Whether an idle connection is of no more use: its peer has ended it,
    /// or has sent what nobody asked for.
    pub fn is_spent(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let mut probe = [0; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Lets the socket reset the connection when it is dropped.
    pub fn reset_on_drop(&self) {
        // Without it the connection ends early all the same.
        self.stream.set_zero_linger().ok();
    }
}
