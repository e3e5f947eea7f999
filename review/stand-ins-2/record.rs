//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static STARTED_MS: OnceLock<u64> = OnceLock::new();

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn start(folder: &str, has_trouble: bool) {
    STARTED_MS.set(unix_ms()).ok();
    let file = File::create(format!("{folder}/record.txt")).expect("the record can be created");
    RECORD.set(Mutex::new(file)).ok();
    line(if has_trouble { "with the disruption" } else { "without the disruption" });
}

/// Milliseconds since the start of the case.
pub fn since_start(at_ms: u64) -> i64 {
    at_ms as i64 - *STARTED_MS.get().unwrap_or(&0) as i64
}

pub fn line(text: &str) {
    line_at(unix_ms(), text);
}

pub fn line_at(at_ms: u64, text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.lock().unwrap();
        writeln!(file, "{:>7} {text}", since_start(at_ms)).ok();
    }
}
