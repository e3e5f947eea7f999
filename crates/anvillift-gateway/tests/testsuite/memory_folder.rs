//! Temporary folders of the hosts that tests start.

use tempfile::TempDir;

/// Folder of a file system in memory, on machines that have one.
const MEMORY_FOLDER: &str = "/dev/shm";

/// A temporary folder, in memory if possible: the disk of the machine, which tests share with other
/// work, may stand still for longer than hosts wait for each other.
pub(crate) fn memory_folder() -> TempDir {
    let folder = tempfile::tempdir_in(MEMORY_FOLDER).or_else(|_| tempfile::tempdir());
    folder.expect("a folder")
}
