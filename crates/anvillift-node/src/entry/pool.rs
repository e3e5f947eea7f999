//! Pool of connections to workers and to other entry hosts.
//!
//! A worker accepts a limited number of connections from all hosts together, and
//! new connections are expensive. Connections are therefore kept and reused, the
//! most recently used first. A kept connection that was closed, or on which
//! unexpected bytes arrived, is dropped before reuse. A request gets none that has
//! carried its id, and HEAD requests share none with others, see
//! [`carried_requests`](super::carried_requests).
//!
//! A late copy of a rejection without a request id can't be told from the rejection of the next
//! request on its connection. Connections to a peer that sends such rejections are not reused.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::{Connection, ResponseHead};

use crate::entry::carried_requests::CarriedRequests;
use crate::{clock, listen};

/// Idle time after which a connection is dropped if its peer states no keep-alive
/// timeout, before the margin is subtracted, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// Margin by which a connection is dropped before the idle time ends at its peer,
/// in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

/// Time for which connections to a peer are not reused after its last rejection without a request
/// id, in milliseconds.
const UNNAMED_REJECTION_MS: u64 = 600_000;

struct IdleConnection {
    connection: Connection,
    carried: CarriedRequests,
    until_ms: u64,
}

/// Connections to one address.
#[derive(Default)]
struct PeerConnections {
    idle: Vec<IdleConnection>,
    /// Number of connections, idle and in use.
    open: usize,
}

/// Connections of this host, by peer address.
#[derive(Default)]
pub(crate) struct Pool {
    peers: RefCell<BTreeMap<SocketAddr, PeerConnections>>,
    /// Times of the last rejections without a request id, by the address of their peer.
    unnamed_rejections: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Peers that have ended idle connections before their time, see [`Pool::take_ended`].
    ended: RefCell<BTreeSet<SocketAddr>>,
}

/// Reasons why no connection is available.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum AcquireError {
    /// This host has reached its connection limit for the peer.
    #[snafu(display("all connections to the peer are in use"))]
    Exhausted,
    /// Connecting failed or timed out.
    #[snafu(display("{source}"), context(false))]
    Unreachable { source: io::Error },
}

impl Pool {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Returns a pooled connection to an address that may carry the request with this id
    /// and method, or opens one if fewer than `limit` are open. At the limit, an idle
    /// connection is closed to make room.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        address: SocketAddr,
        (id, method): (&str, &str),
        limit: usize,
        connect_timeout: Duration,
    ) -> Result<Lease, AcquireError> {
        if let Some(idle) = self.take_idle(address, |carried| carried.accepts(id, method)) {
            let mut lease = self.lease(address, Some(idle.connection));
            lease.carried = idle.carried;
            lease.carried.record(id, method);
            return Ok(lease);
        }
        {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.entry(address).or_default();
            if peer.open >= limit && !peer.idle.is_empty() {
                peer.idle.remove(0);
                peer.open -= 1;
            }
            if peer.open >= limit {
                return ExhaustedSnafu.fail();
            }
            peer.open += 1;
        }
        // Dropping the lease releases the slot, also when connecting fails or the
        // future is cancelled.
        let mut lease = self.lease(address, None);
        lease.carried.record(id, method);
        let stream = listen::connect(address, connect_timeout).await?;
        metrics::counter!("anvillift_connections_opened_total").increment(1);
        lease.connection = Some(Connection::new(stream));
        Ok(lease)
    }

    /// Whether a peer accepts connections. A connection that was opened for this is kept
    /// in the pool.
    pub(crate) async fn is_reachable(
        self: &Rc<Self>,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> bool {
        let until_ms = clock::now_ms() + DEFAULT_IDLE_MS - IDLE_MARGIN_MS;
        if let Some(idle) = self.take_idle(address, |_| true) {
            self.keep(address, IdleConnection { until_ms, ..idle });
            return true;
        }
        let Ok(stream) = listen::connect(address, connect_timeout).await else { return false };
        metrics::counter!("anvillift_connections_opened_total").increment(1);
        self.peers.borrow_mut().entry(address).or_default().open += 1;
        let (connection, carried) = (Connection::new(stream), CarriedRequests::default());
        self.keep(address, IdleConnection { connection, carried, until_ms });
        true
    }

    /// Drops idle connections that have expired or were closed by the peer.
    pub(crate) fn prune(&self, now_ms: u64) {
        let mut peers = self.peers.borrow_mut();
        for (address, peer) in peers.iter_mut() {
            let before = peer.idle.len();
            peer.idle.retain_mut(|idle| idle.until_ms > now_ms && self.is_alive(*address, idle));
            peer.open -= before - peer.idle.len();
        }
        peers.retain(|_, peer| peer.open > 0);
        self.unnamed_rejections
            .borrow_mut()
            .retain(|_, at_ms| *at_ms + UNNAMED_REJECTION_MS >= now_ms);
    }

    /// Peers that have ended idle connections before their time since the last call. They may have
    /// ended themselves.
    pub(crate) fn take_ended(&self) -> BTreeSet<SocketAddr> {
        self.ended.take()
    }

    /// Whether an idle connection can be reused; if not, its peer counts as one that has ended it.
    fn is_alive(&self, address: SocketAddr, idle: &mut IdleConnection) -> bool {
        let is_alive = !idle.connection.is_stale();
        if !is_alive {
            self.ended.borrow_mut().insert(address);
        }
        is_alive
    }

    /// Takes the idle connection that was used last of those that `is_suitable` accepts.
    fn take_idle(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(&CarriedRequests) -> bool,
    ) -> Option<IdleConnection> {
        let now_ms = clock::now_ms();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(&address)?;
        while let Some(position) = peer.idle.iter().rposition(|idle| is_suitable(&idle.carried)) {
            let mut idle = peer.idle.remove(position);
            if idle.until_ms > now_ms && self.is_alive(address, &mut idle) {
                return Some(idle);
            }
            peer.open -= 1;
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: IdleConnection) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&address) {
            peer.idle.push(connection);
        }
    }

    /// Closes the idle connections to a peer.
    fn close_idle(&self, address: SocketAddr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&address) {
            peer.open -= peer.idle.len();
            peer.idle.clear();
        }
    }

    fn lease(self: &Rc<Self>, address: SocketAddr, connection: Option<Connection>) -> Lease {
        let carried = CarriedRequests::default();
        Lease { connection, carried, address, pool: Rc::clone(self), holds_slot: true }
    }
}

/// A connection in use. It is closed on drop unless it was released.
pub(crate) struct Lease {
    connection: Option<Connection>,
    carried: CarriedRequests,
    address: SocketAddr,
    pool: Rc<Pool>,
    /// Whether dropping the lease decrements the connection count of its peer.
    holds_slot: bool,
}

impl Lease {
    /// Whether the connection has carried no other request.
    pub(crate) fn is_new(&self) -> bool {
        !self.carried.has_earlier()
    }

    /// The connection, which exists for as long as the lease is held.
    pub(crate) fn connection(&mut self) -> io::Result<&mut Connection> {
        self.connection.as_mut().ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }

    /// Records a rejection without a request id. Returns whether it is certainly that of the
    /// request which the connection carries: it is the first one of this peer, or the connection
    /// has carried no other request.
    pub(crate) fn record_unnamed_rejection(&self) -> bool {
        let now_ms = clock::now_ms();
        let earlier = self.pool.unnamed_rejections.borrow_mut().insert(self.address, now_ms);
        self.pool.close_idle(self.address);
        earlier.is_none() || !self.carried.has_earlier()
    }

    /// Returns the connection to the pool if its peer keeps it open.
    pub(crate) fn release(mut self, head: &ResponseHead) {
        let Some(mut connection) = self.connection.take() else { return };
        self.holds_slot = false;
        let stated_ms = keep_alive_ms(head).unwrap_or(DEFAULT_IDLE_MS);
        let idle_ms = stated_ms.saturating_sub(IDLE_MARGIN_MS);
        let mut peers = self.pool.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&self.address) else { return };
        let is_reusable = !self.pool.unnamed_rejections.borrow().contains_key(&self.address);
        if is_reusable && head.keeps_alive() && idle_ms > 0 && !connection.is_stale() {
            let until_ms = clock::now_ms() + idle_ms;
            let carried = mem::take(&mut self.carried);
            peer.idle.push(IdleConnection { connection, carried, until_ms });
        } else {
            peer.open -= 1;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.holds_slot {
            return;
        }
        if let Some(peer) = self.pool.peers.borrow_mut().get_mut(&self.address) {
            peer.open = peer.open.saturating_sub(1);
        }
    }
}

/// The idle timeout in the peer's `Keep-Alive` field.
fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| seconds * 1_000)
}
