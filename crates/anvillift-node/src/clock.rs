//! The clock that decisions go by.
//!
//! It runs on while the machine is suspended, so that a lease or a time limit
//! that passed meanwhile is seen to have passed, and it never jumps back.

use std::time::Duration;

use rustix::time::ClockId;

/// Milliseconds since the machine started.
pub(crate) fn now_ms() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
}

/// Milliseconds of the time of day; used only to number the starts of a process.
pub(crate) fn start_number() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Realtime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
}
