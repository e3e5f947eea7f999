//! Log output that never blocks the process.

use std::io;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvillift_telemetry::logging::BoundedOutput;

const LONGEST_WRITE_BYTES: usize = 8 * 1024;
const DRAIN_WITHIN: Duration = Duration::from_secs(20);

/// Notes each write, and takes none while the reader stands still.
#[derive(Clone, Default)]
struct Reader(Arc<(Mutex<Seen>, Condvar)>);

#[derive(Default)]
struct Seen {
    writes: Vec<Vec<u8>>,
    stands_still: bool,
    /// Whether a write waits for the reader.
    waits: bool,
}

impl Reader {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stand_still(&self, stands_still: bool) {
        self.lock().stands_still = stands_still;
        self.0.1.notify_all();
    }

    fn await_writer(&self) {
        let seen = self.lock();
        let waits = self.0.1.wait_while(seen, |seen| !seen.waits);
        drop(waits.unwrap_or_else(PoisonError::into_inner));
    }

    fn text(&self) -> String {
        String::from_utf8(self.lock().writes.concat()).expect("text")
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut seen = self.lock();
        seen.waits = true;
        self.0.1.notify_all();
        let mut seen = self
            .0
            .1
            .wait_while(seen, |seen| seen.stands_still)
            .unwrap_or_else(PoisonError::into_inner);
        seen.waits = false;
        seen.writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The pattern: a host at its peak logs tens of kilobytes between two writes.
#[test]
fn lines_are_written_whole_and_a_few_at_a_time() {
    let reader = Reader::default();
    reader.stand_still(true);
    let mut output = BoundedOutput::start(reader.clone()).expect("a thread");
    let lines: String = (0..2_000).map(|number| format!("line {number}\n")).collect();
    output.write_all(b"first\n").expect("a line");
    reader.await_writer();
    output.write_all(lines.as_bytes()).expect("lines");
    reader.stand_still(false);
    output.drain(DRAIN_WITHIN);
    assert_eq!(reader.text(), format!("first\n{lines}"));
    for write in &reader.lock().writes {
        assert!(write.len() <= LONGEST_WRITE_BYTES, "{} bytes at once", write.len());
        assert_eq!(write.last(), Some(&b'\n'), "a line is cut");
    }
}

#[test]
fn lines_that_nobody_takes_are_dropped_and_counted() {
    let reader = Reader::default();
    reader.stand_still(true);
    let mut output = BoundedOutput::start(reader.clone()).expect("a thread");
    output.write_all(b"first\n").expect("a line");
    reader.await_writer();
    let line = format!("{}\n", "x".repeat(1_023));
    let sent: usize = 2_000;
    for _ in 0..sent {
        output.write_all(line.as_bytes()).expect("a line that is taken or dropped");
    }
    reader.stand_still(false);
    output.drain(DRAIN_WITHIN);
    let text = reader.text();
    let kept = text.lines().filter(|line| line.starts_with('x')).count();
    assert!(kept < sent);
    let counted = format!("\"message\":\"log lines dropped\",\"lines\":{}", sent - kept);
    assert!(text.contains(&counted), "{kept} kept");
}
