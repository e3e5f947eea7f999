//! A request under way at a worker.

use anvillift_schema::name::Name;

/// A request that was sent to a worker and has not ended. It is given back to
/// the table that counts it, so that its work is taken away once.
#[derive(Debug)]
#[must_use = "the work of a request is counted until its flight is given back"]
pub struct Flight {
    pub(crate) worker: Name,
    pub(crate) unread_tokens: u64,
}

impl Flight {
    /// The worker.
    pub fn worker(&self) -> &Name {
        &self.worker
    }
}
