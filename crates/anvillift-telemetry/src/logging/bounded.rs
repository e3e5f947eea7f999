//! Standard output that never blocks the process.
//!
//! Lines are gathered in memory and written by a thread of their own, a few
//! times a second. When they come faster than they are taken, the newest are
//! dropped and counted; a line says how many.

use std::io;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that may wait to be written.
const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Largest write; what collects the lines may cut longer ones.
const MAX_WRITE_BYTES: usize = 8 * 1024;
/// For how long lines are gathered.
const GATHER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

/// Lines on their way out.
#[derive(Clone, Debug, Default)]
pub struct BoundedOutput {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
}

impl BoundedOutput {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let bounded = Self::default();
        let writer = bounded.clone();
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            loop {
                let bytes = writer.take();
                // There is nowhere else to report that the output is gone.
                write_lines(&mut output, &bytes).and_then(|()| output.flush()).ok();
                writer.lock().is_writing = false;
                thread::sleep(GATHER);
            }
        })?;
        Ok(bounded)
    }

    /// Waits until what was logged is written, for so long at most.
    pub fn drain(&self, within: Duration) {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let waiting = self.lock();
            if waiting.bytes.is_empty() && !waiting.is_writing {
                return;
            }
            drop(waiting);
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The lines that wait, once there are some.
    fn take(&self) -> Vec<u8> {
        let (_, arrived) = &*self.shared;
        let mut waiting = self.lock();
        while waiting.bytes.is_empty() {
            waiting = arrived.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
        waiting.is_writing = true;
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped_lines = std::mem::take(&mut waiting.dropped_lines);
        if dropped_lines > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":{dropped_lines}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for BoundedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.bytes.len() + bytes.len() > MAX_WAITING_BYTES {
            waiting.dropped_lines += bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        } else {
            let was_empty = waiting.bytes.is_empty();
            waiting.bytes.extend_from_slice(bytes);
            if was_empty {
                self.shared.1.notify_one();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes whole lines, a few kilobytes at a time.
fn write_lines(output: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while rest.len() > MAX_WRITE_BYTES {
        let whole = rest[..MAX_WRITE_BYTES].iter().rposition(|byte| *byte == b'\n');
        let longer = || rest.iter().position(|byte| *byte == b'\n');
        let end = whole.or_else(longer).map_or(rest.len(), |last| last + 1);
        let (lines, after) = rest.split_at(end);
        output.write_all(lines)?;
        rest = after;
    }
    output.write_all(rest)
}
