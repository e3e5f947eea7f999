//! Small files that hold a single frame and are replaced atomically.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DamagedSnafu, FileSnafu, StorageError, SyncSnafu};
use crate::frame::Framing;
use crate::io::StorageIo;

const TEMPORARY_SUFFIX: &str = "new";

/// Replaces a file atomically and durably: after a crash, it has either the old
/// or the new content.
pub(crate) fn replace(
    io: &mut StorageIo,
    framing: &Framing,
    path: &Path,
    content: &impl Serialize,
) -> Result<(), StorageError> {
    let temporary_path = path.with_extension(TEMPORARY_SUFFIX);
    let mut file = File::create(&temporary_path)
        .map_err(|e| StorageError::from_write_error(&temporary_path, e))?;
    (io.write)(&mut file, &framing.encode(content))
        .map_err(|e| StorageError::from_write_error(&temporary_path, e))?;
    (io.sync)(&file).context(SyncSnafu { path: &temporary_path })?;
    fs::rename(&temporary_path, path).context(FileSnafu { path })?;
    sync_folder_of(io, path)
}

/// Creates a folder durably in one that exists. One that is there already may have been created
/// shortly before a crash, so it is synced as well.
pub(crate) fn create_folder(io: &mut StorageIo, path: &Path) -> Result<(), StorageError> {
    match fs::create_dir(path) {
        Err(source) if source.kind() != io::ErrorKind::AlreadyExists => {
            Err(source).context(FileSnafu { path })
        }
        _ => sync_folder_of(io, path),
    }
}

/// Removes a file durably. A missing file is not an error.
pub(crate) fn remove(io: &mut StorageIo, path: &Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(source) if source.kind() != io::ErrorKind::NotFound => {
            Err(source).context(FileSnafu { path })
        }
        _ => sync_folder_of(io, path),
    }
}

/// Reads a file that holds a single frame. Returns `None` if the file does not
/// exist.
pub(crate) fn read<T: DeserializeOwned>(
    framing: &Framing,
    path: &Path,
) -> Result<Option<T>, StorageError> {
    let bytes = match fs::read(path) {
        Err(source) if source.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read.context(FileSnafu { path })?,
    };
    match framing.decode(&bytes) {
        Ok((content, size)) if size == bytes.len() => Ok(Some(content)),
        _ => DamagedSnafu { path }.fail(),
    }
}

/// Syncs the parent folder of a file, so that the creation, renaming or removal
/// of the file is durable.
pub(crate) fn sync_folder_of(io: &mut StorageIo, path: &Path) -> Result<(), StorageError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let file = File::open(folder).context(FileSnafu { path: folder })?;
    (io.sync)(&file).context(SyncSnafu { path: folder })
}
