//! Errors of the data folder and its files.

use std::io;
use std::path::{Path, PathBuf};

use anvillift_schema::code::Code;

/// Reasons for which the data folder cannot be used.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A write failed because the disk is full or a quota is exhausted.
    #[snafu(display("{}: the disk is full", path.display()))]
    Full {
        /// File that was being written.
        path: PathBuf,
    },
    /// A file or folder could not be synced, so its last writes may not be
    /// durable.
    #[snafu(display("{}: the file could not be synced", path.display()))]
    Sync {
        /// File or folder that was being synced.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file could not be opened, read, written, renamed or removed.
    #[snafu(display("{}: the file could not be read or written", path.display()))]
    File {
        /// File or folder of the failed operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is invalid, and its content cannot be restored from other files.
    #[snafu(display("{}: the file is damaged; replace the replica on this disk", path.display()))]
    Damaged {
        /// Invalid or missing file, or folder whose files do not fit together.
        path: PathBuf,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("{}: the data folder is locked by another process", path.display()))]
    InUse {
        /// Data folder that is locked.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown and
    /// nothing more is written.
    #[snafu(display("{}: storage is disabled after a failed write or sync", path.display()))]
    Failed {
        /// Folder of the group whose storage failed.
        path: PathBuf,
    },
}

impl StorageError {
    /// Result code under which the error is reported.
    pub fn code(&self) -> Code {
        match self {
            Self::Damaged { .. } => Code::StorageDamaged,
            _ => Code::StorageFault,
        }
    }

    /// Converts the error of a write; a full disk gets a variant of its own.
    pub(crate) fn from_write_error(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { path },
            _ => Self::File { path, source },
        }
    }
}
