//! A connection that reads only so much until its other side is proven.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::transport::Connection;

/// Bytes that a host reads before the other side is proven.
const MAX_UNPROVEN_BYTES: u64 = 16 * 1024;

/// Bytes that may still be read; without a limit once the other side is proven.
#[derive(Clone)]
pub(crate) struct ReadAllowance(Arc<AtomicU64>);

impl ReadAllowance {
    pub(crate) fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }
}

/// A connection with an allowance.
pub(crate) struct Bounded {
    inner: Box<dyn Connection>,
    allowance: ReadAllowance,
}

impl Bounded {
    pub(crate) fn new(inner: Box<dyn Connection>) -> (Self, ReadAllowance) {
        let allowance = ReadAllowance(Arc::new(AtomicU64::new(MAX_UNPROVEN_BYTES)));
        (Self { inner, allowance: allowance.clone() }, allowance)
    }
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let read_bytes = (buffer.filled().len() - before) as u64;
        let left = self.allowance.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Poll::Ready(Ok(()));
        }
        let Some(left) = left.checked_sub(read_bytes) else {
            return Poll::Ready(Err(io::Error::other("too much before the proof")));
        };
        self.allowance.0.store(left, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
