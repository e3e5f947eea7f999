//! Listening sockets and new connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::error::{ListenSnafu, NodeError};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time without an acknowledgement after which a connection is given up.
const SILENT_AFTER: Duration = Duration::from_millis(2_000);
/// Time without traffic after which a peer is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time after which accepting is tried again when the process has no room.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().context(ListenSnafu { address })
}

/// The next connection of a listener.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                return stream;
            }
            Err(error) => {
                log::warn!("a connection was not accepted: {error}");
                time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Connects within a time.
pub(crate) async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let connected = time::timeout(within, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream);
    Ok(stream)
}

/// Sets what makes a silent connection end; it works without, only later.
fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(Duration::from_secs(1));
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENT_AFTER)))
        .and_then(|()| socket.set_tcp_keepalive(&probes.with_retries(2)));
    if let Err(error) = set {
        log::debug!("a connection has no time limits: {error}");
    }
}
