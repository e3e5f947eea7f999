//! Connections to workers and to other hosts.
//!
//! A worker takes a limited number of connections from all hosts together and
//! new ones are dear, so connections are kept and used again, the last used
//! first. A kept connection that has ended, or on which something arrived that
//! nobody asked for, is dropped before it is used.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::{Connection, ResponseHead};

use crate::{clock, listen};

/// Idle time that a peer which states none is trusted to bear, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// Kept below the idle time that a peer states, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

struct Idle {
    connection: Connection,
    until_ms: u64,
}

#[derive(Default)]
struct Place {
    idle: Vec<Idle>,
    open: usize,
}

/// Connections by address.
pub(crate) struct Pool {
    places: RefCell<BTreeMap<SocketAddr, Place>>,
}

/// Why there is no connection.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum AcquireError {
    /// This host has as many as it may have.
    #[snafu(display("all connections are in use"))]
    Exhausted,
    /// The peer can't be reached.
    #[snafu(display("{source}"), context(false))]
    Unreachable {
        /// Cause.
        source: io::Error,
    },
}

impl Pool {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self { places: RefCell::default() })
    }

    /// A connection to an address, kept or new, of `limit` at most.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        address: SocketAddr,
        limit: usize,
        within: Duration,
    ) -> Result<Lease, AcquireError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(self.lease(address, Some(connection)));
        }
        {
            let mut places = self.places.borrow_mut();
            let place = places.entry(address).or_default();
            if place.open >= limit {
                return ExhaustedSnafu.fail();
            }
            place.open += 1;
        }
        // The lease gives the place back, also when connecting is given up.
        let mut lease = self.lease(address, None);
        let stream = listen::connect(address, within).await?;
        metrics::counter!("anvillift_connections_opened_total").increment(1);
        lease.connection = Some(Connection::new(stream));
        Ok(lease)
    }

    /// Drops connections that are idle for too long or have ended.
    pub(crate) fn prune(&self, now_ms: u64) {
        let mut places = self.places.borrow_mut();
        for place in places.values_mut() {
            let before = place.idle.len();
            place.idle.retain_mut(|idle| idle.until_ms > now_ms && !idle.connection.is_spent());
            place.open -= before - place.idle.len();
        }
        places.retain(|_, place| place.open > 0);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now_ms = clock::now_ms();
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&address)?;
        while let Some(mut idle) = place.idle.pop() {
            if idle.until_ms > now_ms && !idle.connection.is_spent() {
                return Some(idle.connection);
            }
            place.open -= 1;
        }
        None
    }

    fn lease(self: &Rc<Self>, address: SocketAddr, connection: Option<Connection>) -> Lease {
        Lease { connection, address, pool: Rc::clone(self), holds_place: true }
    }
}

/// A connection in use; dropped, it is closed.
pub(crate) struct Lease {
    connection: Option<Connection>,
    address: SocketAddr,
    pool: Rc<Pool>,
    holds_place: bool,
}

impl Lease {
    /// The connection; there is one for as long as the lease is held.
    pub(crate) fn connection(&mut self) -> io::Result<&mut Connection> {
        self.connection.as_mut().ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }

    /// Keeps the connection for another request, if its peer does.
    pub(crate) fn release(mut self, head: &ResponseHead) {
        let Some(mut connection) = self.connection.take() else { return };
        self.holds_place = false;
        let stated_ms = keep_alive_ms(head).unwrap_or(DEFAULT_IDLE_MS);
        let idle_ms = stated_ms.saturating_sub(IDLE_MARGIN_MS);
        let mut places = self.pool.places.borrow_mut();
        let Some(place) = places.get_mut(&self.address) else { return };
        if head.keeps_alive() && idle_ms > 0 && !connection.is_spent() {
            place.idle.push(Idle { connection, until_ms: clock::now_ms() + idle_ms });
        } else {
            place.open -= 1;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.holds_place {
            return;
        }
        if let Some(place) = self.pool.places.borrow_mut().get_mut(&self.address) {
            place.open = place.open.saturating_sub(1);
        }
    }
}

/// The idle time that a peer states.
fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| seconds * 1_000)
}
