//! Computes how long a request waits at a host that has just started.
//!
//! In the first seconds after a loss of power most requests could be served a
//! moment later, when the configuration and the workers are known. A refused caller
//! reconnects only later and not often, so such requests wait. The wait is short: a
//! request that has waited longer would be late, and would take a slot from one
//! that arrives in time. Workers become known one after the other, so waiting
//! requests are released as slots become free and not all to the first worker. A
//! host that has been up for longer without this data refuses at once, since the
//! data may never arrive.

use crate::choose::Candidate;

/// Time after the start within which the configuration and workers are expected, in milliseconds.
const STARTUP_MS: u64 = 2_500;
/// Longest wait of a request, in milliseconds.
const MAX_WAIT_MS: u64 = 300;
/// A request waits for at most the timeout of its caller divided by this.
const CALLER_TIME_DIVISOR: u64 = 4;
/// Most requests that may wait at a host.
const MAX_WAITING: usize = 400;

/// State from which the wait of a request that cannot be served yet is computed.
#[derive(Clone, Copy, Debug)]
pub struct StartState {
    /// Time since this host started, in milliseconds.
    pub uptime_ms: u64,
    /// Time within which the caller expects the answer, in milliseconds.
    pub caller_timeout_ms: u64,
    /// Number of requests that wait at this host already.
    pub waiting: usize,
}

/// How long the request waits, in milliseconds; 0 means that it is refused at once.
pub fn wait_ms(state: &StartState) -> u64 {
    if state.waiting >= MAX_WAITING {
        return 0;
    }
    let startup_left_ms = STARTUP_MS.saturating_sub(state.uptime_ms);
    startup_left_ms.min(MAX_WAIT_MS).min(state.caller_timeout_ms / CALLER_TIME_DIVISOR)
}

/// Whether a worker has a free slot for this host, which shares the slots of each
/// worker equally with the other hosts of the region.
pub fn has_free_slot(candidates: &[Candidate], hosts: usize) -> bool {
    let share = |candidate: &Candidate| candidate.slots.div_ceil(hosts.max(1) as u64);
    candidates.iter().any(|candidate| candidate.in_flight.requests < share(candidate))
}
