//! Small files that are replaced as a whole.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DamagedSnafu, FileSnafu, StorageError, SyncSnafu};
use crate::frame::Framing;
use crate::io::Io;

const NEW_SUFFIX: &str = "new";

/// Replaces a file so that a crash leaves the old one or the new one.
pub(crate) fn replace(
    io: &mut Io,
    framing: &Framing,
    path: &Path,
    content: &impl Serialize,
) -> Result<(), StorageError> {
    let new_path = path.with_extension(NEW_SUFFIX);
    let mut file = File::create(&new_path).map_err(|e| StorageError::of_write(&new_path, e))?;
    (io.write)(&mut file, &framing.encode(content))
        .map_err(|e| StorageError::of_write(&new_path, e))?;
    (io.sync)(&file).context(SyncSnafu { path: &new_path })?;
    fs::rename(&new_path, path).context(FileSnafu { path })?;
    sync_folder_of(io, path)
}

/// Removes a file durably.
pub(crate) fn remove(io: &mut Io, path: &Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(source) if source.kind() != io::ErrorKind::NotFound => {
            Err(source).context(FileSnafu { path })
        }
        _ => sync_folder_of(io, path),
    }
}

/// Reads a file that is one frame, if it is there.
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

/// Makes the names in the folder of a file durable.
pub(crate) fn sync_folder_of(io: &mut Io, path: &Path) -> Result<(), StorageError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let file = File::open(folder).context(FileSnafu { path: folder })?;
    (io.sync)(&file).context(SyncSnafu { path: folder })
}
