//! Monotonic clock for deadlines and leases.
//!
//! The clock keeps running while the machine is suspended, so that a lease or a
//! deadline that passed during the suspension counts as expired on resume. It
//! never goes backwards.

use std::time::Duration;

use rustix::time::ClockId;

/// Milliseconds since the machine booted, including time spent suspended.
pub(crate) fn now_ms() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
}

/// Milliseconds since the Unix epoch. The wall clock may jump: it only tells roughly how much
/// time has passed between two starts of a process.
pub(crate) fn unix_ms() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Realtime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
}

/// Number of a start of the process, higher than those before unless the wall clock was set
/// back.
pub(crate) fn start_number() -> u64 {
    unix_ms()
}
