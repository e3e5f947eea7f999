//! How long a request waits for what a host that has just started doesn't know.
//!
//! Most of what comes in the second after a loss of power could be served a
//! moment later: the configuration and the workers are on their way. A caller
//! that is refused comes back over a new connection, later, and not often. So
//! such a request waits, though not for long: what has waited longer is late
//! already, and let go it takes the places of what comes in time. Workers become
//! known one after the other, so those that wait are let go as there is room, not
//! all to the first worker. A host that has been without news for longer refuses
//! at once, since nothing says that any will come.

use crate::choose::Candidate;

/// Time after the start in which news is expected, in milliseconds.
const NEWS_WITHIN_MS: u64 = 2_500;
/// Longest wait, in milliseconds.
const MAX_WAIT_MS: u64 = 300;
/// Part of a caller's time that may be spent.
const TIME_DIVISOR: u64 = 4;
/// Requests that may wait at a host.
const MAX_WAITING: usize = 400;

/// What is known of a request that can't be served yet.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// Time since the host started, in milliseconds.
    pub started_ago_ms: u64,
    /// Time that the caller gives the request, in milliseconds.
    pub caller_ms: u64,
    /// Requests that wait already.
    pub waiting: usize,
}

/// How long the request waits, in milliseconds.
pub fn wait_ms(sight: &Sight) -> u64 {
    if sight.waiting >= MAX_WAITING {
        return 0;
    }
    let expected_ms = NEWS_WITHIN_MS.saturating_sub(sight.started_ago_ms);
    expected_ms.min(MAX_WAIT_MS).min(sight.caller_ms / TIME_DIVISOR)
}

/// Whether a worker of the region has room for a request of this host, which
/// shares the workers with the other hosts of the region.
pub fn has_room(candidates: &[Candidate], hosts: usize) -> bool {
    let share = |candidate: &Candidate| candidate.slots.div_ceil(hosts.max(1) as u64);
    candidates.iter().any(|candidate| candidate.work.requests < share(candidate))
}
