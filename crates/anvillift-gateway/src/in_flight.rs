//! Requests in flight on this host.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the requests that have not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    count: Arc<watch::Sender<u32>>,
}

/// One request in flight; dropped when it ends.
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

    /// Waits until nothing is in flight.
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
