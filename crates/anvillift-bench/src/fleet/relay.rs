//! A relay between two hosts that delays and narrows what passes.
//!
//! Relays between the same two regions share one [`Pipe`] a direction, as
//! hosts share the link between their regions. Start at [`start`].

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
/// Chunks in flight in one direction of one connection.
const CHUNKS_IN_FLIGHT: usize = 64;
const NANOS_PER_S: u64 = 1_000_000_000;

/// Delay and rate of one direction between two regions.
#[derive(Clone, Debug)]
pub struct PipeSettings {
    /// One-way delay.
    pub delay_ms: u64,
    /// Rate; 0 is unlimited.
    pub rate_bytes_per_s: u64,
}

impl Default for PipeSettings {
    fn default() -> Self {
        Self { delay_ms: 30, rate_bytes_per_s: 0 }
    }
}

/// One direction between two regions, shared by all that passes.
#[derive(Debug)]
pub struct Pipe {
    settings: PipeSettings,
    free_at: Mutex<Instant>,
    open: watch::Sender<bool>,
    carried_bytes: AtomicU64,
}

impl Pipe {
    /// An open pipe.
    pub fn new(settings: PipeSettings) -> Self {
        Self {
            settings,
            free_at: Mutex::new(Instant::now()),
            open: watch::Sender::new(true),
            carried_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes taken in so far.
    pub fn carried_bytes(&self) -> u64 {
        self.carried_bytes.load(Ordering::Relaxed)
    }

    /// Opens the pipe, or cuts it: nothing passes and nobody is told.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// When a chunk that enters now comes out.
    fn release_at(&self, chunk_bytes: usize) -> Instant {
        let delay = Duration::from_millis(self.settings.delay_ms);
        let now = Instant::now();
        let Some(busy_ns) =
            (chunk_bytes as u64 * NANOS_PER_S).checked_div(self.settings.rate_bytes_per_s)
        else {
            return now + delay;
        };
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(now) + Duration::from_nanos(busy_ns);
        *free_at + delay
    }

    async fn until_open(&self) {
        let _ = self.open.subscribe().wait_for(|open| *open).await;
    }
}

/// A relay that runs until it is dropped.
pub struct Relay {
    /// Address to dial in place of the target's.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Relays connections to `target`.
pub async fn start(
    target: SocketAddr,
    forth: Arc<Pipe>,
    back: Arc<Pipe>,
) -> Result<Relay, BenchError> {
    let address = "127.0.0.1:0";
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let addr = listener.local_addr().context(ListenSnafu { address })?;
    let task = tokio::spawn(accept(listener, target, forth, back));
    Ok(Relay { addr, task })
}

async fn accept(listener: TcpListener, target: SocketAddr, forth: Arc<Pipe>, back: Arc<Pipe>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(connect(near, target, Arc::clone(&forth), Arc::clone(&back)));
    }
}

async fn connect(near: TcpStream, target: SocketAddr, forth: Arc<Pipe>, back: Arc<Pipe>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(carry(near_read, far_write, forth), carry(far_read, near_write, back));
}

async fn carry(from: OwnedReadHalf, to: OwnedWriteHalf, pipe: Arc<Pipe>) {
    let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::join!(take_in(from, tx, &pipe), let_out(to, rx, &pipe));
}

async fn take_in(mut from: OwnedReadHalf, tx: mpsc::Sender<(Instant, Bytes)>, pipe: &Pipe) {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    while let Ok(1..) = from.read_buf(&mut buffer).await {
        let chunk = buffer.split().freeze();
        buffer.reserve(READ_BYTES);
        pipe.carried_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        if tx.send((pipe.release_at(chunk.len()), chunk)).await.is_err() {
            return;
        }
    }
}

async fn let_out(mut to: OwnedWriteHalf, mut rx: mpsc::Receiver<(Instant, Bytes)>, pipe: &Pipe) {
    while let Some((release_at, chunk)) = rx.recv().await {
        time::sleep_until(release_at).await;
        pipe.until_open().await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The end of a connection crosses a cut no sooner than its bytes.
    pipe.until_open().await;
    let _ = to.shutdown().await;
}
