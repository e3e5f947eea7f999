//! Counts of work in flight on this host. A planned stop waits until they are zero.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the requests, or other work, that have not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    count: Arc<watch::Sender<u32>>,
}

/// Counts as one request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<watch::Sender<u32>>,
}

impl InFlight {
    pub(crate) fn new() -> Self {
        Self { count: Arc::new(watch::Sender::new(0)) }
    }

    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard { count: self.count.clone() }
    }

    pub(crate) fn count(&self) -> u32 {
        *self.count.borrow()
    }

    /// Waits until the count is zero.
    pub(crate) async fn wait_until_idle(&self) {
        let mut changes = self.count.subscribe();
        let _ = changes.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
