//! The listening socket for callers.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

const BACKLOG: u32 = 4096;

/// Maximum number of unsent bytes per connection in the send buffer of the kernel.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Listens on an IP address and port.
///
/// Accepted connections inherit two options. Nagle's algorithm is off, because it would hold back
/// single tokens until the caller has acknowledged the previous ones. The limit on unsent bytes
/// keeps answers to slow readers out of kernel memory.
pub(crate) fn bind(address: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr =
        address.parse().map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    SockRef::from(&socket).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
