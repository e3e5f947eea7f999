//! A connection that limits how much it reads before its peer is authenticated.
//!
//! The limit bounds the memory that a host without the link key can occupy.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::transport::Connection;

/// Largest number of bytes that a host reads before the peer is authenticated.
const MAX_UNAUTHENTICATED_BYTES: u64 = 16 * 1024;

/// Bytes that may still be read; unlimited once the peer is authenticated.
#[derive(Clone)]
pub(crate) struct ReadAllowance(Arc<AtomicU64>);

impl ReadAllowance {
    pub(crate) fn remove_limit(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }
}

/// A connection whose reads fail once its allowance is used up.
pub(crate) struct ReadLimited {
    inner: Box<dyn Connection>,
    allowance: ReadAllowance,
}

impl ReadLimited {
    pub(crate) fn new(inner: Box<dyn Connection>) -> (Self, ReadAllowance) {
        let allowance = ReadAllowance(Arc::new(AtomicU64::new(MAX_UNAUTHENTICATED_BYTES)));
        (Self { inner, allowance: allowance.clone() }, allowance)
    }
}

impl AsyncRead for ReadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let read_bytes = (buffer.filled().len() - before) as u64;
        let remaining_bytes = self.allowance.0.load(Ordering::Relaxed);
        if remaining_bytes == u64::MAX {
            return Poll::Ready(Ok(()));
        }
        let Some(remaining_bytes) = remaining_bytes.checked_sub(read_bytes) else {
            return Poll::Ready(Err(io::Error::other(
                "the peer sent too many bytes before it was authenticated",
            )));
        };
        self.allowance.0.store(remaining_bytes, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadLimited {
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
