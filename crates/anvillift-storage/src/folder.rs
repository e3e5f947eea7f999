//! The data folder of a host, with its lock, its storage id and the folders of
//! its groups.

use std::fs;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use anvillift_schema::name::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{DamagedSnafu, FileSnafu, InUseSnafu, StorageError};
use crate::file;
use crate::frame::Framing;
use crate::group::GroupStorage;
use crate::io::StorageIo;
use crate::recovery::RecoveredGroup;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
const GROUPS_FOLDER: &str = "groups";

#[derive(Deserialize, Serialize)]
struct IdentityRecord {
    storage_id: Name,
}

/// A formatted data folder, locked against use by other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    storage_id: Name,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks a folder. An empty folder is formatted with a new storage
    /// id.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        create_root(path)?;
        let lock = lock(path)?;
        let framing = Framing::new(Name::default());
        let identity_path = path.join(IDENTITY_FILE);
        let record: Option<IdentityRecord> = file::read(&framing, &identity_path)?;
        let groups_path = path.join(GROUPS_FOLDER);
        let storage_id = match record {
            Some(record) => record.storage_id,
            // A folder with groups but without an identity is not new. Formatting
            // it would give its log and votes to another replica.
            None if groups_path.exists() => {
                return DamagedSnafu { path: identity_path }.fail();
            }
            None => {
                let storage_id = Name::from(uuid::Uuid::new_v4().to_string());
                let record = IdentityRecord { storage_id: storage_id.clone() };
                file::replace(&mut StorageIo::default(), &framing, &identity_path, &record)?;
                storage_id
            }
        };
        Ok(Self { path: path.to_owned(), storage_id, _lock: lock })
    }

    /// Id that was generated when the folder was formatted.
    pub fn storage_id(&self) -> &Name {
        &self.storage_id
    }

    /// Stores a value durably under a file name, and replaces an earlier value of
    /// that name.
    pub fn save(&self, name: &str, value: &impl Serialize) -> Result<(), StorageError> {
        let framing = Framing::new(self.storage_id.clone());
        file::replace(&mut StorageIo::default(), &framing, &self.path.join(name), value)
    }

    /// Loads the value stored under a file name, or returns `None` if there is
    /// none.
    pub fn load<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StorageError> {
        file::read(&Framing::new(self.storage_id.clone()), &self.path.join(name))
    }

    /// Opens the storage of a group and returns it with the state that it holds.
    pub fn open_group(
        &self,
        group: &Name,
        mut io: StorageIo,
    ) -> Result<(GroupStorage, RecoveredGroup), StorageError> {
        let groups = self.path.join(GROUPS_FOLDER);
        file::create_folder(&mut io, &groups)?;
        let folder = groups.join(group.as_str());
        file::create_folder(&mut io, &folder)?;
        GroupStorage::open(folder, Framing::new(self.storage_id.clone()), io)
    }
}

/// Creates the data folder if it is missing, and makes the creation durable where its parent may
/// be read.
fn create_root(path: &Path) -> Result<(), StorageError> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path).context(FileSnafu { path })?;
    match file::sync_folder_of(&mut StorageIo::default(), path) {
        Err(StorageError::File { source, .. })
            if source.kind() == io::ErrorKind::PermissionDenied =>
        {
            Ok(())
        }
        synced => synced,
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).context(FileSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => InUseSnafu { path: folder }.fail(),
        Err(TryLockError::Error(source)) => Err(source).context(FileSnafu { path }),
    }
}
