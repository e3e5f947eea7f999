//! TCP relay between two hosts that adds delay and limits the data rate.
//!
//! [`start`] listens on loopback and connects each accepted connection to the
//! target. Relays between the same two regions share one [`LinkDirection`] for each
//! direction, as hosts share the link between their regions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::error::{BenchError, ListenSnafu};

const READ_BYTES: usize = 16 * 1024;
/// Largest number of chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
const NANOS_PER_S: u64 = 1_000_000_000;

/// Delay and data rate of a link in one direction.
#[derive(Clone, Debug)]
pub struct LinkDirectionSettings {
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// Data rate in bytes per second; 0 for no limit.
    pub rate_bytes_per_s: u64,
}

impl Default for LinkDirectionSettings {
    fn default() -> Self {
        Self { delay_ms: 30, rate_bytes_per_s: 0 }
    }
}

/// One direction of the link between two regions, shared by all its connections.
#[derive(Debug)]
pub struct LinkDirection {
    settings: LinkDirectionSettings,
    busy_until: Mutex<Instant>,
    is_delivering: watch::Sender<bool>,
    received_bytes: AtomicU64,
}

impl LinkDirection {
    /// Creates a link direction with delivery switched on.
    pub fn new(settings: LinkDirectionSettings) -> Self {
        Self {
            settings,
            busy_until: Mutex::new(Instant::now()),
            is_delivering: watch::Sender::new(true),
            received_bytes: AtomicU64::new(0),
        }
    }

    /// Number of bytes read from senders so far, including those not yet delivered.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Starts or stops the delivery of bytes.
    ///
    /// While it is stopped, connections stay open but no byte is delivered, as in a
    /// network partition.
    pub fn set_delivering(&self, is_delivering: bool) {
        self.is_delivering.send_replace(is_delivering);
    }

    /// Time at which a chunk that enters now is delivered, after its transmission time
    /// and the delay.
    fn delivery_at(&self, chunk_bytes: usize) -> Instant {
        let delay = Duration::from_millis(self.settings.delay_ms);
        let now = Instant::now();
        let Some(transmission_ns) =
            (chunk_bytes as u64 * NANOS_PER_S).checked_div(self.settings.rate_bytes_per_s)
        else {
            return now + delay;
        };
        let mut busy_until = self.busy_until.lock().unwrap_or_else(PoisonError::into_inner);
        *busy_until = (*busy_until).max(now) + Duration::from_nanos(transmission_ns);
        *busy_until + delay
    }

    async fn wait_until_delivering(&self) {
        let _ = self.is_delivering.subscribe().wait_for(|is_delivering| *is_delivering).await;
    }
}

/// Running relay; it stops accepting connections when it is dropped.
pub struct Relay {
    /// Address to connect to instead of the target's.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a relay to `target` on a port that the system chooses.
///
/// Bytes to the target pass through `forward`, bytes from it through `backward`.
pub async fn start(
    target: SocketAddr,
    forward: Arc<LinkDirection>,
    backward: Arc<LinkDirection>,
) -> Result<Relay, BenchError> {
    let address = "127.0.0.1:0";
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let addr = listener.local_addr().context(ListenSnafu { address })?;
    let task = tokio::spawn(accept(listener, target, forward, backward));
    Ok(Relay { addr, task })
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    forward: Arc<LinkDirection>,
    backward: Arc<LinkDirection>,
) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(connect(client, target, Arc::clone(&forward), Arc::clone(&backward)));
    }
}

async fn connect(
    client: TcpStream,
    target: SocketAddr,
    forward: Arc<LinkDirection>,
    backward: Arc<LinkDirection>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        relay_bytes(client_read, server_write, forward),
        relay_bytes(server_read, client_write, backward)
    );
}

async fn relay_bytes(from: OwnedReadHalf, to: OwnedWriteHalf, link_direction: Arc<LinkDirection>) {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(read_chunks(from, tx, &link_direction), write_chunks(to, rx, &link_direction));
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Bytes)>,
    link_direction: &LinkDirection,
) {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    while let Ok(1..) = from.read_buf(&mut buffer).await {
        let chunk = buffer.split().freeze();
        buffer.reserve(READ_BYTES);
        link_direction.received_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        if tx.send((link_direction.delivery_at(chunk.len()), chunk)).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    link_direction: &LinkDirection,
) {
    while let Some((delivery_at, chunk)) = rx.recv().await {
        time::sleep_until(delivery_at).await;
        link_direction.wait_until_delivering().await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // While nothing is delivered, the end of the connection is held back like its bytes.
    link_direction.wait_until_delivering().await;
    let _ = to.shutdown().await;
}
