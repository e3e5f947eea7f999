//! The record of a case: one line for each event, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the record; clones share the file and the start time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("a file for the record");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    /// Seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now_s());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record written");
    }
}
