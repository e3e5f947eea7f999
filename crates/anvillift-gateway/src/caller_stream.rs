//! A connection of a caller.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_connections::CallerConnections;

/// A socket that counts as begun from the first byte of a request until bytes of its answer are
/// written. The HTTP library, when it stops, closes connections on which a request head is not
/// complete; a planned stop therefore waits for them.
#[derive(Debug)]
pub(crate) struct CallerStream {
    socket: TcpStream,
    connections: CallerConnections,
    has_begun: bool,
}

impl CallerStream {
    pub(crate) fn new(socket: TcpStream, connections: CallerConnections) -> Self {
        Self { socket, connections, has_begun: false }
    }

    fn set_begun(&mut self, has_begun: bool) {
        match (self.has_begun, has_begun) {
            (false, true) => self.connections.begin(),
            (true, false) => self.connections.end(),
            _ => (),
        }
        self.has_begun = has_begun;
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.set_begun(false);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before_bytes = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.socket).poll_read(context, buffer));
        // After the end of the stream there is nothing to wait for but the answers in flight.
        self.set_begun(buffer.filled().len() > before_bytes);
        Poll::Ready(result)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.socket).poll_write(context, bytes));
        self.set_begun(false);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.socket).poll_write_vectored(context, slices));
        self.set_begun(false);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
