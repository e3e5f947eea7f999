//! Accepts the connections of callers, also those in the queue of the kernel at a planned stop.

use std::future;
use std::io;
use std::mem;
use std::net::SocketAddr;

use anvillift_http::ClosingListener;
use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream};
use salvo::fuse::{ArcFusePolicy, FuseAction, FuseInfo, TransProto};
use salvo::http::Version;
use salvo::http::uri::Scheme;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_connections::CallerConnections;
use crate::caller_stream::CallerStream;

/// The listening socket for callers, which accepts the connections in its queue before it is
/// closed.
pub(crate) struct CallerAcceptor {
    listening: Listening,
    connections: CallerConnections,
    holdings: Vec<Holding>,
}

/// Progress of the listening socket.
enum Listening {
    Open(TcpListener),
    Closing(ClosingListener),
    /// All connections are accepted.
    Closed,
}

impl CallerAcceptor {
    pub(crate) fn new(listener: TcpListener, connections: CallerConnections) -> io::Result<Self> {
        let holdings = vec![Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        }];
        Ok(Self { listening: Listening::Open(listener), connections, holdings })
    }

    async fn next(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            match &mut self.listening {
                Listening::Open(listener) => tokio::select! {
                    biased;
                    () = self.connections.wait_until_closing() => self.begin_to_close(),
                    accepted = listener.accept() => return accepted,
                },
                Listening::Closing(listener) => match listener.next().await {
                    Some(accepted) => return accepted,
                    None => self.listening = Listening::Closed,
                },
                Listening::Closed => {
                    self.connections.record_closed();
                    return future::pending().await;
                }
            }
        }
    }

    fn begin_to_close(&mut self) {
        if let Listening::Open(listener) = mem::replace(&mut self.listening, Listening::Closed) {
            self.listening = Listening::Closing(ClosingListener::new(listener));
        }
    }
}

impl Acceptor for CallerAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<CallerStream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let local_addr = self.holdings[0].local_addr.clone();
        loop {
            let (socket, remote_addr) = self.next().await?;
            let info = FuseInfo {
                trans_proto: TransProto::Tcp,
                remote_addr: remote_addr.into(),
                local_addr: local_addr.clone(),
            };
            let fuse_config = match &policy {
                None => None,
                Some(policy) => match policy.decide(&info).await {
                    FuseAction::Accept(config) => Some(config),
                    FuseAction::Reject => continue,
                },
            };
            let conn_ctrl = ConnCtrl::new();
            let stream = CallerStream::new(socket, self.connections.clone());
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream: StraightStream::new(stream, fuse_config, conn_ctrl.clone(), None),
                fuse_config,
                conn_ctrl,
                remote_addr: info.remote_addr,
                local_addr,
                http_scheme: Scheme::HTTP,
            });
        }
    }
}
