//! A request in flight at a worker.

use anvillift_schema::name::Name;

/// A request that was sent to a worker and has not ended. It has to be returned to
/// the [`InFlightTable`](crate::InFlightTable) that counts it, so that it is
/// subtracted exactly once.
#[derive(Debug)]
#[must_use = "the request counts as in flight until it is returned to its table"]
pub struct InFlightRequest {
    pub(crate) worker: Name,
    pub(crate) unprocessed_tokens: u64,
    pub(crate) sent_ms: u64,
}

impl InFlightRequest {
    /// Id of the worker that the request was sent to.
    pub fn worker(&self) -> &Name {
        &self.worker
    }
}
