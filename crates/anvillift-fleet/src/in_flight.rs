//! Work that waits at a worker or in a region.

use std::ops::AddAssign;

/// Requests sent and not ended, and what they still have to read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Requests sent and not ended.
    pub requests: u64,
    /// Prompt tokens of requests whose answer has not begun.
    pub unread_tokens: u64,
}

impl AddAssign for InFlight {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
    }
}
