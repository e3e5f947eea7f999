//! Write and sync operations as closures, so that tests can inject faults.

use std::fmt;
use std::fs::File;
use std::io;
use std::io::Write;

type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;
type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Operations with which the storage writes and syncs its log and files.
pub struct StorageIo {
    /// Writes all bytes to a file, or returns an error.
    pub write: WriteFn,
    /// Syncs a file or folder, after which its writes survive a power loss.
    pub sync: SyncFn,
}

impl Default for StorageIo {
    fn default() -> Self {
        Self {
            write: Box::new(|file, bytes| file.write_all(bytes)),
            sync: Box::new(File::sync_all),
        }
    }
}

impl fmt::Debug for StorageIo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Io")
    }
}
