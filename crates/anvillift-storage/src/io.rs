//! Writing and syncing, as closures that a test can let fail.

use std::fmt;
use std::fs::File;
use std::io;
use std::io::Write;

type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;
type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// How bytes reach the disk.
pub struct Io {
    /// Writes all the bytes.
    pub write: WriteFn,
    /// Makes a file or folder durable.
    pub sync: SyncFn,
}

impl Default for Io {
    fn default() -> Self {
        Self {
            write: Box::new(|file, bytes| file.write_all(bytes)),
            sync: Box::new(File::sync_all),
        }
    }
}

impl fmt::Debug for Io {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Io")
    }
}
