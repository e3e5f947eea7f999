//! The requests in flight at a worker or in a region.

use std::ops::AddAssign;

/// Counts of the requests in flight and of the prompt tokens still to be prefilled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Requests that were sent and have not ended.
    pub requests: u64,
    /// Prompt tokens of those requests whose answer has not begun.
    pub unprocessed_tokens: u64,
}

impl AddAssign for InFlight {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.unprocessed_tokens += other.unprocessed_tokens;
    }
}
