//! Listening sockets, new connections and their TCP options.
//!
//! The host that opens a connection reads answers from it, and gives up an
//! unresponsive peer sooner than the host that accepted it. If the accepting host
//! gave up first during a cut, the bytes on their way would be dropped, and the rest
//! of an answer could arrive behind the gap once the cut is over.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anvillift_http::ClosingListener;
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::error::{ListenSnafu, NodeError};

/// Most connections that the kernel queues before they are accepted.
const BACKLOG: u32 = 1_024;
/// Time after which a connection that this host opened is closed if its peer
/// acknowledges neither data nor keep-alive probes, or accepts no data. A process that is
/// frozen for 4 s reads nothing, and the kernel applies this timeout also while the receive
/// window of the peer is full. A network that is cut for 1.5 s is back before the timeout,
/// counted from the last segment, up to one keep-alive interval before the cut.
const OPENED_TIMEOUT: Duration = Duration::from_millis(4_500);
/// The same for a connection that this host accepted.
const ACCEPTED_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Time without traffic after which keep-alive probes are sent, and the interval between them.
/// The kernel takes whole seconds, and refuses an interval of 0. How many probes may remain
/// without an answer follows from the timeouts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept, e.g. when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listening socket on an IPv4 address.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().context(ListenSnafu { address })
}

/// Waits for the next connection; a failed accept is logged and tried again.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream, ACCEPTED_TIMEOUT);
                return stream;
            }
            Err(error) => delay_accept(&error).await,
        }
    }
}

/// Waits for the next connection of a listening socket that is being closed; `None` once there
/// are no more.
pub(crate) async fn accept_last(listener: &mut ClosingListener) -> Option<TcpStream> {
    loop {
        match listener.next().await? {
            Ok((stream, _)) => {
                set_socket_options(&stream, ACCEPTED_TIMEOUT);
                return Some(stream);
            }
            Err(error) => delay_accept(&error).await,
        }
    }
}

async fn delay_accept(error: &io::Error) {
    log::warn!("cannot accept a connection, next attempt in {ACCEPT_RETRY_DELAY:?}: {error}");
    time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Opens a connection, or fails with `TimedOut` after `timeout`.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connected = time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, OPENED_TIMEOUT);
    Ok(stream)
}

/// Sets the options by which the kernel closes a connection to an unresponsive
/// peer. Without them the connection works, but ends later.
fn set_socket_options(stream: &TcpStream, timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = result {
        log::debug!("cannot set the TCP options of a connection: {error}");
    }
}
