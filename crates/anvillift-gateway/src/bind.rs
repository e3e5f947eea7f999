//! The listening socket for callers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

const BACKLOG: u32 = 4096;

/// Listens on an IP and port.
///
/// Accepted connections inherit the lack of Nagle's algorithm, which would
/// hold back single tokens until the caller acknowledged those before.
pub(crate) fn bind(address: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr =
        address.parse().map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
