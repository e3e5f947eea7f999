//! Counts the connections of callers whose request has begun, and coordinates the close of the
//! listening socket in a planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

/// State that the listener for callers, its connections and the planned stop share.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnections {
    begun: Arc<AtomicU32>,
    closing: watch::Sender<bool>,
    closed: watch::Sender<bool>,
}

impl CallerConnections {
    pub(crate) fn new() -> Self {
        Self {
            begun: Arc::default(),
            closing: watch::Sender::new(false),
            closed: watch::Sender::new(false),
        }
    }

    /// Counts a connection from which bytes were read that are not answered.
    pub(crate) fn begin(&self) {
        self.begun.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn end(&self) {
        self.begun.fetch_sub(1, Ordering::AcqRel);
    }

    /// Number of connections with a request that has begun and has no answer yet, also if its
    /// head is not complete.
    pub(crate) fn begun(&self) -> u32 {
        self.begun.load(Ordering::Acquire)
    }

    /// Closes the listening socket, and waits until all connections in its queue are served.
    pub(crate) async fn close_listener(&self) {
        self.closing.send_replace(true);
        // The sender is a part of `self`, so that the wait can't fail.
        let _ = self.closed.subscribe().wait_for(|is_closed| *is_closed).await;
    }

    /// Waits until the listening socket is to be closed.
    pub(crate) async fn wait_until_closing(&self) {
        let _ = self.closing.subscribe().wait_for(|is_closing| *is_closing).await;
    }

    /// Records that the listening socket is closed and its queue is served.
    pub(crate) fn record_closed(&self) {
        self.closed.send_replace(true);
    }
}
