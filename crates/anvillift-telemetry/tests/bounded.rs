//! Tests that log output is queued and dropped rather than blocking the process.

use std::io;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvillift_telemetry::logging::BoundedOutput;

const MAX_WRITE_BYTES: usize = 8 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// An output that records each write, and blocks writes while it is stalled.
#[derive(Clone, Default)]
struct StallingOutput(Arc<(Mutex<Writes>, Condvar)>);

#[derive(Default)]
struct Writes {
    writes: Vec<Vec<u8>>,
    is_stalled: bool,
    /// Whether a write is in progress or blocked.
    is_writing: bool,
}

impl StallingOutput {
    fn lock(&self) -> MutexGuard<'_, Writes> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_stalled(&self, is_stalled: bool) {
        self.lock().is_stalled = is_stalled;
        self.0.1.notify_all();
    }

    fn wait_for_write(&self) {
        let state = self.lock();
        let guard = self.0.1.wait_while(state, |state| !state.is_writing);
        drop(guard.unwrap_or_else(PoisonError::into_inner));
    }

    fn text(&self) -> String {
        String::from_utf8(self.lock().writes.concat()).expect("text")
    }
}

impl Write for StallingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        state.is_writing = true;
        self.0.1.notify_all();
        let mut state = self
            .0
            .1
            .wait_while(state, |state| state.is_stalled)
            .unwrap_or_else(PoisonError::into_inner);
        state.is_writing = false;
        state.writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A host at peak load logs tens of kilobytes between two writes, and log collectors may split long
/// writes within a line.
#[test]
fn no_write_exceeds_the_size_limit_or_ends_within_a_line() {
    let destination = StallingOutput::default();
    destination.set_stalled(true);
    let mut output = BoundedOutput::start(destination.clone()).expect("a thread");
    let lines: String = (0..2_000).map(|number| format!("line {number}\n")).collect();
    output.write_all(b"first\n").expect("a line");
    destination.wait_for_write();
    output.write_all(lines.as_bytes()).expect("lines");
    destination.set_stalled(false);
    output.drain(DRAIN_TIMEOUT);
    assert_eq!(destination.text(), format!("first\n{lines}"));
    for write in &destination.lock().writes {
        assert!(write.len() <= MAX_WRITE_BYTES, "a write of {} bytes", write.len());
        assert_eq!(write.last(), Some(&b'\n'), "a write ends within a line");
    }
}

#[test]
fn lines_beyond_the_queue_size_are_dropped_and_counted() {
    let destination = StallingOutput::default();
    destination.set_stalled(true);
    let mut output = BoundedOutput::start(destination.clone()).expect("a thread");
    output.write_all(b"first\n").expect("a line");
    destination.wait_for_write();
    let line = format!("{}\n", "x".repeat(1_023));
    let sent: usize = 2_000;
    for _ in 0..sent {
        output.write_all(line.as_bytes()).expect("a line that is queued or dropped");
    }
    destination.set_stalled(false);
    output.drain(DRAIN_TIMEOUT);
    let text = destination.text();
    let kept = text.lines().filter(|line| line.starts_with('x')).count();
    assert!(kept < sent);
    let counted = format!("\"message\":\"log lines dropped\",\"lines\":{}", sent - kept);
    assert!(text.contains(&counted), "{kept} lines were kept");
}
