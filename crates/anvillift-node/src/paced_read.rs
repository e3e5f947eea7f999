//! A reader that limits the processor time of the thread that reads from it.
//!
//! A host may be limited to a fraction of a core. The limit applies to all its threads together, so
//! a thread that uses it up also stops the one that serves requests.

use std::io::{self, Read};
use std::thread;
use std::time::Duration;

use rustix::time::ClockId;

/// Processor time between two pauses.
const WORK_TIME: Duration = Duration::from_millis(1);
/// Share of the host's processor time that reading may use.
const SHARE: f64 = 0.5;
/// Longest sum of all pauses. Hosts have to apply a change within 4 s.
const MAX_PAUSES: Duration = Duration::from_millis(1_500);
/// Processor share of a host whose settings state none, in thousandths of a core.
const DEFAULT_MILLICORES: u64 = 1_000;

/// Reads from another reader, with pauses.
pub(crate) struct PacedRead<R> {
    inner: R,
    /// Length of a pause for each unit of processor time.
    pause_ratio: f64,
    /// Processor time of the thread at the end of the last pause.
    paused_at: Duration,
    pauses: Duration,
}

impl<R> PacedRead<R> {
    /// Wraps a reader on a host with a share of a core, in thousandths.
    pub(crate) fn new(inner: R, cpu_millicores: Option<u64>) -> Self {
        let host = cpu_millicores.unwrap_or(DEFAULT_MILLICORES).max(1) as f64 / 1_000.0;
        Self {
            inner,
            pause_ratio: (1.0 / (host * SHARE) - 1.0).max(0.0),
            paused_at: thread_time(),
            pauses: Duration::ZERO,
        }
    }

    fn pause_if_due(&mut self) {
        let worked = thread_time().saturating_sub(self.paused_at);
        if worked < WORK_TIME || self.pauses >= MAX_PAUSES {
            return;
        }
        let pause = worked.mul_f64(self.pause_ratio).min(MAX_PAUSES - self.pauses);
        thread::sleep(pause);
        self.pauses += pause;
        self.paused_at = thread_time();
    }
}

impl<R: Read> Read for PacedRead<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.pause_if_due();
        self.inner.read(buffer)
    }
}

/// Processor time that this thread has used.
fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
