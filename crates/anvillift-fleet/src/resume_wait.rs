//! Computes how long a resumed stream waits while no entry host reaches the workers of its version.
//!
//! Only workers of the version that began the stream can go on with it, and its caller has part of
//! the answer already. If the entry hosts of their region restart, or their region is back a moment
//! after a cut, the stream goes on after a short wait. Where no core of these regions is heard,
//! the regions themselves are cut off, for an unknown time, and the stream is refused at once.

/// Longest wait of a request, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// A request waits for at most the time that it has left divided by this.
const REMAINING_TIME_DIVISOR: u64 = 3;
/// Most requests that may wait at a host.
const MAX_WAITING: usize = 400;

/// State from which the wait is computed.
#[derive(Clone, Copy, Debug)]
pub struct ResumeState {
    /// Whether a core is heard of a region with workers of the version.
    pub is_region_heard: bool,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Number of requests that wait at this host already.
    pub waiting: usize,
}

/// How long the request waits, in milliseconds; 0 means that it is refused at once.
pub fn wait_ms(state: &ResumeState) -> u64 {
    if !state.is_region_heard || state.waiting >= MAX_WAITING {
        return 0;
    }
    MAX_WAIT_MS.min(state.remaining_ms / REMAINING_TIME_DIVISOR)
}
