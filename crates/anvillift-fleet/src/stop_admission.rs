//! Whether a host in a planned stop takes a new request.
//!
//! Callers use cached answers of the directory for a while, so a stopping host goes on serving.
//! It refuses what it is not expected to finish, since another host can take it at once.

/// Time after the start of a planned stop during which requests are taken, in milliseconds.
const ADMISSION_MS: u64 = 2_500;
/// Part of the grace period for which they are taken at most.
const ADMISSION_GRACE_DIVISOR: u64 = 2;

/// State of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopState {
    /// Time since its start, in milliseconds.
    pub age_ms: u64,
    /// Time until it ends the requests in service, in milliseconds.
    pub left_ms: u64,
    /// Time from its start until the process is killed, in milliseconds.
    pub grace_ms: u64,
}

/// How long a new request may take, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RequestTime {
    /// Time until its deadline.
    pub left_ms: u64,
    /// Time that requests of its route and service usually take at most.
    pub usual_ms: u64,
}

/// Whether a new request is taken.
pub fn admits(stop: &StopState, request: &RequestTime) -> bool {
    let admission_ms = ADMISSION_MS.min(stop.grace_ms / ADMISSION_GRACE_DIVISOR);
    let needed_ms = request.left_ms.min(request.usual_ms);
    stop.age_ms <= admission_ms && needed_ms <= stop.left_ms
}
