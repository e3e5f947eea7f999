//! The close of a listening socket without the reset of connections.
//!
//! The kernel resets the connections in the queue of a socket that is closed, although their
//! callers may have sent requests, and those that are opened between the last one accepted and
//! the close. A filter first makes it ignore attempts to connect, so that callers try another
//! host when theirs time out or the socket is closed.

use std::collections::VecDeque;
use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{self, Instant};

/// Longest time for the handshake of a connection that has begun, from another region.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(150);

/// Instructions of a socket filter, which sees segments from their TCP header on, and returns how
/// many bytes of a segment to keep.
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;
/// Offset of the flags in the TCP header, in bytes, and the flag by which a connection begins.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN_FLAG: u32 = 0x02;

/// A listening socket that takes no new connections, and is closed once those that have begun are
/// accepted.
#[derive(Debug)]
pub struct ClosingListener {
    /// The socket with the end of the handshakes; `None` once it is closed.
    open: Option<(TcpListener, Instant)>,
    queued: VecDeque<(TcpStream, SocketAddr)>,
}

impl ClosingListener {
    /// Begins to close a listening socket. Where the kernel has no filters, it takes connections
    /// until it is closed.
    #[must_use]
    pub fn new(listener: TcpListener) -> Self {
        ignore_new_connections(&listener);
        Self { open: Some((listener, Instant::now() + HANDSHAKE_TIMEOUT)), queued: VecDeque::new() }
    }

    /// The next connection, or `None` once the socket is closed and all are accepted. A call that
    /// is dropped loses no connection.
    ///
    /// # Errors
    ///
    /// Fails if a connection can't be accepted, for example for want of file descriptors; later
    /// calls may succeed.
    pub async fn next(&mut self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        if let Some((listener, until)) = &self.open {
            if let Ok(accepted) = time::timeout_at(*until, listener.accept()).await {
                return Some(accepted);
            }
            let (listener, _) = self.open.take()?;
            match close(listener) {
                Ok(queued) => self.queued = queued,
                Err(error) => return Some(Err(error)),
            }
        }
        self.queued.pop_front().map(Ok)
    }
}

/// Makes a listening socket ignore attempts to connect. Connections that are in its queue, or whose
/// handshake has begun, can still be accepted.
fn ignore_new_connections(listener: &TcpListener) {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, TCP_SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    if let Err(error) = SockRef::from(listener).attach_filter(&filter) {
        log::debug!("cannot ignore new connections to a socket: {error}");
    }
}

/// Closes a listening socket, and returns the connections in its queue.
fn close(listener: TcpListener) -> io::Result<VecDeque<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut queued = VecDeque::new();
    loop {
        match listener.accept() {
            Ok((stream, address)) => {
                queued.extend(to_async(stream).ok().map(|stream| (stream, address)));
            }
            // One caller has left; others may wait behind it.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => (),
            Err(_) => return Ok(queued),
        }
    }
}

fn to_async(stream: net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
