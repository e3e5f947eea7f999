//! Listening sockets of stand-ins.
//!
//! Start at [`serve`]: it binds, turns off Nagle's algorithm so that single
//! tokens are not held back, and serves a router until told to stop.

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

/// A server that runs in the background.
pub struct Serving {
    /// Address it listens on.
    pub addr: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Serving {
    /// Cuts every connection and stops.
    pub async fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
        let _ = self.task.await;
    }

    /// Finishes what is in flight, for at most `limit`, and stops.
    pub async fn finish(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}

/// Serves `router` on `address`.
pub fn serve(address: &str, router: Router) -> Result<Serving, BenchError> {
    let listener = bind(address).context(ListenSnafu { address })?;
    let addr = listener.local_addr().context(ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(Serving { addr, handle, task })
}

/// Accepted connections inherit the option of the listening socket.
fn bind(address: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr =
        address.parse().map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
