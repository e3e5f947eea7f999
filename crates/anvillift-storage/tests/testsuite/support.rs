//! Helpers that create entries and folders for the tests.

use std::fs;
use std::path::{Path, PathBuf};

use anvillift_schema::consensus::{Entry, EntryBody, SnapshotMeta, VoterSet};
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, GroupStorage, RecoveredGroup, StorageError, StorageIo};
use tempfile::TempDir;

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    let command = format!("command {index} of term {term}").into_bytes();
    Entry { index, term, body: EntryBody::Command(command.into()) }
}

pub(crate) fn meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta { index, term, voters: VoterSet { voters: Vec::new(), learners: Vec::new() } }
}

pub(crate) fn group() -> Name {
    Name::from("group")
}

pub(crate) fn temporary_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

pub(crate) fn open(path: &Path) -> (GroupStorage, RecoveredGroup) {
    try_open(path).expect("the folder opens")
}

pub(crate) fn try_open(path: &Path) -> Result<(GroupStorage, RecoveredGroup), StorageError> {
    DataFolder::open(path)?.open_group(&group(), StorageIo::default())
}

/// Writes batches of entries and syncs after each.
pub(crate) fn write(path: &Path, batches: &[Vec<Entry>]) {
    let (mut storage, _) = open(path);
    for batch in batches {
        storage.append(batch.clone());
        storage.sync().expect("the batch is synced");
    }
}

/// Paths of the segments of the group, in ascending order.
pub(crate) fn segments(path: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(path.join("groups").join("group")).expect("the group's folder");
    let paths = files.map(|file| file.expect("a file").path());
    let mut segments: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|suffix| suffix == "segment")).collect();
    segments.sort();
    segments
}
