//! Log output that never blocks the threads that log.
//!
//! Lines are queued in memory, and a dedicated thread writes them a few times a
//! second. When the queue is full, new lines are dropped and counted, and the
//! number of dropped lines is logged with the next write.

use std::io;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Largest size of the queue; lines that do not fit are dropped.
const MAX_QUEUED_BYTES: usize = 512 * 1024;
/// Largest size of a write of several lines, since log collectors may split longer writes within a
/// line.
const MAX_WRITE_BYTES: usize = 8 * 1024;
/// Pause between two writes, during which new lines are queued.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct LineQueue {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

/// A writer that queues lines in memory for a background thread; its clones share the queue.
#[derive(Clone, Debug, Default)]
pub struct BoundedOutput {
    shared: Arc<(Mutex<LineQueue>, Condvar)>,
}

impl BoundedOutput {
    /// Starts the thread that writes queued lines to `output`. Fails if the thread cannot be
    /// started.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let bounded = Self::default();
        let writer = bounded.clone();
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            loop {
                let bytes = writer.take();
                // Errors are ignored, since a failed log output cannot be reported anywhere else.
                write_lines(&mut output, &bytes).and_then(|()| output.flush()).ok();
                writer.lock().is_writing = false;
                thread::sleep(WRITE_INTERVAL);
            }
        })?;
        Ok(bounded)
    }

    /// Waits until all queued lines are written, but no longer than `timeout`.
    pub fn drain(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let queue = self.lock();
            if queue.bytes.is_empty() && !queue.is_writing {
                return;
            }
            drop(queue);
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for queued lines and removes them from the queue. If lines were dropped, adds a line with
    /// their number.
    fn take(&self) -> Vec<u8> {
        let (_, line_queued) = &*self.shared;
        let mut queue = self.lock();
        while queue.bytes.is_empty() {
            queue = line_queued.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
        queue.is_writing = true;
        let mut bytes = std::mem::take(&mut queue.bytes);
        let dropped_lines = std::mem::take(&mut queue.dropped_lines);
        if dropped_lines > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":{dropped_lines}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    fn lock(&self) -> MutexGuard<'_, LineQueue> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for BoundedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut queue = self.lock();
        if queue.bytes.len() + bytes.len() > MAX_QUEUED_BYTES {
            queue.dropped_lines += bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        } else {
            let was_empty = queue.bytes.is_empty();
            queue.bytes.extend_from_slice(bytes);
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

/// Writes complete lines in blocks of at most [`MAX_WRITE_BYTES`]. A longer line is written in
/// a block of its own.
fn write_lines(output: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while rest.len() > MAX_WRITE_BYTES {
        let last_newline = rest[..MAX_WRITE_BYTES].iter().rposition(|byte| *byte == b'\n');
        let first_newline = || rest.iter().position(|byte| *byte == b'\n');
        let end = last_newline.or_else(first_newline).map_or(rest.len(), |index| index + 1);
        let (lines, remainder) = rest.split_at(end);
        output.write_all(lines)?;
        rest = remainder;
    }
    output.write_all(rest)
}
