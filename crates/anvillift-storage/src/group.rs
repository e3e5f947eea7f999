//! The storage of one replicated group: its log segments, vote and snapshot.

use std::fs::File;
use std::mem;
use std::path::PathBuf;

use anvillift_schema::consensus::{Entry, SnapshotMeta, Vote};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use snafu::ResultExt;

use crate::error::{FailedSnafu, StorageError, SyncSnafu};
use crate::file;
use crate::frame::Framing;
use crate::io::StorageIo;
use crate::recovery;
use crate::recovery::RecoveredGroup;
use crate::segment::Segment;

/// Size at which a segment is closed and the next one is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Paths of the files of a group.
#[derive(Debug)]
pub(crate) struct GroupPaths {
    pub(crate) folder: PathBuf,
    pub(crate) vote: PathBuf,
    pub(crate) snapshot: PathBuf,
    pub(crate) refetch: PathBuf,
}

impl GroupPaths {
    fn new(folder: PathBuf) -> Self {
        Self {
            vote: folder.join("vote"),
            snapshot: folder.join("snapshot"),
            refetch: folder.join("refetch"),
            folder,
        }
    }
}

#[derive(Deserialize, Serialize)]
pub(crate) struct SnapshotRecord {
    pub(crate) meta: SnapshotMeta,
    pub(crate) data: ByteBuf,
}

/// Log, vote and snapshot of a group. After an error nothing more is appended,
/// since the content of the disk is then unknown; the group has to be opened again.
#[derive(Debug)]
pub struct GroupStorage {
    paths: GroupPaths,
    framing: Framing,
    io: StorageIo,
    segments: Vec<Segment>,
    active: Option<File>,
    /// Appended entries that the next sync writes as one frame.
    unsynced: Vec<Entry>,
    failed: bool,
}

impl GroupStorage {
    pub(crate) fn open(
        folder: PathBuf,
        framing: Framing,
        mut io: StorageIo,
    ) -> Result<(Self, RecoveredGroup), StorageError> {
        let paths = GroupPaths::new(folder);
        let (recovered, segments) = recovery::recover(&paths, &framing, &mut io)?;
        let active = segments.last().map(Segment::open).transpose()?;
        if let (Some(file), Some(segment)) = (&active, segments.last()) {
            // The last writes of a process that was killed may not be durable
            // yet.
            (io.sync)(file).context(SyncSnafu { path: &segment.path })?;
        }
        // A vote or snapshot that was renamed before a fault may be read back without being
        // durable.
        file::sync_folder_of(&mut io, &paths.vote)?;
        let storage =
            Self { paths, framing, io, segments, active, unsynced: Vec::new(), failed: false };
        Ok((storage, recovered))
    }

    /// Appends entries in memory; the next sync writes them. They replace
    /// existing entries at and after their first index.
    pub fn append(&mut self, entries: Vec<Entry>) {
        self.unsynced.extend(entries);
    }

    /// Writes the appended entries and makes them durable.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        self.run_unless_failed(Self::write_batch)
    }

    /// Makes the term and vote durable.
    pub fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            file::replace(&mut storage.io, &storage.framing, &storage.paths.vote, vote)
        })
    }

    /// Makes a snapshot durable and drops the part of the log that it covers.
    /// With `drop_log`, for a snapshot received from a leader, the whole log is
    /// dropped.
    pub fn save_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
        drop_log: bool,
    ) -> Result<(), StorageError> {
        self.sync()?;
        let record = SnapshotRecord { meta: meta.clone(), data: ByteBuf::from(data) };
        self.run_unless_failed(|storage| {
            let path = &storage.paths.snapshot;
            file::replace(&mut storage.io, &storage.framing, path, &record)?;
            if drop_log {
                storage.drop_log()
            } else {
                storage.drop_covered_segments(record.meta.index)
            }
        })
    }

    /// Records durably that the entries lost from a damaged log have been
    /// received again.
    pub fn finish_refetch(&mut self) -> Result<(), StorageError> {
        self.sync()?;
        self.run_unless_failed(|storage| file::remove(&mut storage.io, &storage.paths.refetch))
    }

    /// Truncates the log after its last successful sync. Call it after an error, before the group
    /// is opened again: what a failed sync has left may be readable without being durable.
    pub fn discard_unsynced(&mut self) -> Result<(), StorageError> {
        self.unsynced.clear();
        self.active = None;
        let Some(segment) = self.segments.last() else { return Ok(()) };
        segment.truncate(segment.bytes)?;
        let file = segment.open()?;
        (self.io.sync)(&file).context(SyncSnafu { path: &segment.path })
    }

    fn run_unless_failed(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return FailedSnafu { path: &self.paths.folder }.fail();
        }
        let result = write(self);
        self.failed = result.is_err();
        result
    }

    fn write_batch(&mut self) -> Result<(), StorageError> {
        if self.segments.last().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES) {
            self.start_segment()?;
        }
        let batch = mem::take(&mut self.unsynced);
        let frame = self.framing.encode(&batch);
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.last_mut()) else {
            return FailedSnafu { path: &self.paths.folder }.fail();
        };
        (self.io.write)(file, &frame)
            .map_err(|e| StorageError::from_write_error(&segment.path, e))?;
        (self.io.sync)(file).context(SyncSnafu { path: &segment.path })?;
        segment.bytes += frame.len() as u64;
        let batch_max_index = batch.iter().map(|entry| entry.index).max().unwrap_or(0);
        segment.max_index = segment.max_index.max(batch_max_index);
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let sequence = self.segments.last().map_or(0, |segment| segment.sequence + 1);
        let segment = Segment::new(&self.paths.folder, sequence);
        self.active = Some(segment.open()?);
        file::sync_folder_of(&mut self.io, &segment.path)?;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes all segments, newest first, so that a crash in between leaves no
    /// gap in the log.
    fn drop_log(&mut self) -> Result<(), StorageError> {
        self.active = None;
        while let Some(segment) = self.segments.pop() {
            file::remove(&mut self.io, &segment.path)?;
        }
        Ok(())
    }

    /// Removes the oldest closed segments as long as they hold no entry after the
    /// index.
    fn drop_covered_segments(&mut self, index: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            let segment = self.segments.remove(0);
            file::remove(&mut self.io, &segment.path)?;
        }
        Ok(())
    }
}
