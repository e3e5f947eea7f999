//! An output of log lines whose errors are ignored.

use std::io::{self, Write};

/// A writer that drops the lines that its output can't take, for instance on a full disk. An error
/// can't be reported anywhere else, and `fern` would panic in the thread that logs.
pub(super) struct LossyOutput {
    output: Box<dyn Write + Send>,
}

impl LossyOutput {
    pub(super) fn new(output: Box<dyn Write + Send>) -> Self {
        Self { output }
    }
}

impl Write for LossyOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.output.write_all(bytes).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush().ok();
        Ok(())
    }
}
