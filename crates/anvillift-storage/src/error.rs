//! Faults of the data folder.

use std::io;
use std::path::{Path, PathBuf};

use anvillift_schema::code::Code;

/// Why the data folder cannot be used.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk is full.
    #[snafu(display("{}: the disk is full", path.display()))]
    Full {
        /// File.
        path: PathBuf,
    },
    /// A file could not be made durable.
    #[snafu(display("{}: the file could not be synced", path.display()))]
    Sync {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("{}: the file could not be read or written", path.display()))]
    File {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A file cannot be trusted and nothing can stand in for it.
    #[snafu(display("{}: the file is damaged; replace the disk's replica", path.display()))]
    Damaged {
        /// File.
        path: PathBuf,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: the data folder is used by another process", path.display()))]
    InUse {
        /// Folder.
        path: PathBuf,
    },
    /// An earlier fault leaves unknown what is on the disk.
    #[snafu(display("{}: the data folder failed before", path.display()))]
    Failed {
        /// Folder.
        path: PathBuf,
    },
}

impl StorageError {
    /// Result code of the fault.
    pub fn code(&self) -> Code {
        match self {
            Self::Damaged { .. } => Code::StorageDamaged,
            _ => Code::StorageFault,
        }
    }

    /// The fault of a write.
    pub(crate) fn of_write(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { path },
            _ => Self::File { path, source },
        }
    }
}
