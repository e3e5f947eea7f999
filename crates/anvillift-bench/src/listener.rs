//! HTTP servers of the stand-in upstreams.
//!
//! [`serve`] binds a socket, turns off Nagle's algorithm so that single tokens
//! are sent without delay, and serves a router in the background until the
//! returned [`RunningServer`] is stopped.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::{Server, ServerHandle};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

use crate::error::{BenchError, ListenSnafu};

const BACKLOG: u32 = 4096;

/// Handle of an HTTP server that runs in a background task.
pub struct RunningServer {
    /// Bound address, with the port that the system assigned for port 0.
    pub addr: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Closes every connection at once and stops.
    pub async fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
        let _ = self.task.await;
    }

    /// Stops after the requests in flight are answered, or after `limit`.
    pub async fn finish(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}

/// Serves `router` on `address`, an IP address with a port.
///
/// Fails with [`BenchError::Listen`] when the address is invalid or in use.
pub fn serve(address: &str, router: Router) -> Result<RunningServer, BenchError> {
    let listener = bind(address).context(ListenSnafu { address })?;
    let addr = listener.local_addr().context(ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(RunningServer { addr, handle, task })
}

/// Sets `TCP_NODELAY` on the listening socket, from which accepted connections
/// inherit it.
fn bind(address: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr =
        address.parse().map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
