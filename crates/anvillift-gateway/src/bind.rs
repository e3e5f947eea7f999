//! The listening socket for callers.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

const BACKLOG: u32 = 4096;

/// Bytes of an answer that may wait unsent in the kernel.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Listens on an IP and port.
///
/// Accepted connections inherit the lack of Nagle's algorithm, which would
/// hold back single tokens until the caller acknowledged those before, and the
/// small room in the kernel for what slow readers do not take.
pub(crate) fn bind(address: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr =
        address.parse().map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
