//! The storage of a replica: opened at the start, and again after a fault.

use std::time::{Duration, Instant};

use anvillift_schema::event::Event;
use anvillift_storage::StorageError;

use crate::driver::GroupDriver;
use crate::replica_source::OpenedReplica;

/// Delay after which failed storage is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(700);

impl GroupDriver {
    /// Opens the storage and replaces the replica by one that continues from its content.
    pub(super) fn open(&mut self) -> Result<(), StorageError> {
        let OpenedReplica { replica, storage, snapshot } = self.source.open()?;
        self.replica = replica;
        self.performer.storage = storage;
        self.snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        if let Some(snapshot) = snapshot {
            self.performer.restore(&snapshot.meta, &snapshot.data);
        }
        Ok(())
    }

    /// Stops the replica after a storage fault, because the content of the disk is then unknown.
    pub(super) fn fail(&mut self, error: &StorageError) {
        self.reopen_due = Some(Instant::now() + REOPEN_DELAY);
        self.publish();
        self.performer.abort();
        let group = &self.performer.group;
        log::error!(
            event = Event::StorageFailed.number(), group = group.as_str(),
            code = error.code().number(), reopen_after_ms = REOPEN_DELAY.as_millis() as u64;
            "storage of group {group} failed; its replica stops until it can be opened again: {error}"
        );
    }

    pub(super) fn is_failed(&self) -> bool {
        self.reopen_due.is_some()
    }

    /// Opens failed storage again once its delay has passed.
    pub(super) fn reopen_if_due(&mut self) {
        if self.reopen_due.is_none_or(|due| Instant::now() < due) {
            return;
        }
        if let Err(error) = self.reopen() {
            self.fail(&error);
            return;
        }
        self.reopen_due = None;
        let group = &self.performer.group;
        log::info!(
            event = Event::StorageReopened.number(), group = group.as_str(),
            index = self.performer.applied_index();
            "storage of group {group} opened again after a fault"
        );
    }

    fn reopen(&mut self) -> Result<(), StorageError> {
        self.performer.discard_unsynced()?;
        self.open()
    }
}
