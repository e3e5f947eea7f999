//! The storage of one replicated group.

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
use crate::io::Io;
use crate::recovery;
use crate::recovery::RecoveredGroup;
use crate::segment::Segment;

/// A segment is closed when it has grown to this size.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Where the files of a group lie.
#[derive(Debug)]
pub(crate) struct GroupFiles {
    pub(crate) folder: PathBuf,
    pub(crate) vote: PathBuf,
    pub(crate) snapshot: PathBuf,
    pub(crate) refetch: PathBuf,
}

impl GroupFiles {
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

/// Log, vote and snapshot of a group. After a fault nothing is written any
/// more, since what is on the disk is then unknown.
#[derive(Debug)]
pub struct GroupStorage {
    files: GroupFiles,
    framing: Framing,
    io: Io,
    segments: Vec<Segment>,
    active: Option<File>,
    /// Entries of the next frame.
    unsynced: Vec<Entry>,
    failed: bool,
}

impl GroupStorage {
    pub(crate) fn open(
        folder: PathBuf,
        framing: Framing,
        mut io: Io,
    ) -> Result<(Self, RecoveredGroup), StorageError> {
        let files = GroupFiles::new(folder);
        let (recovered, segments) = recovery::recover(&files, &framing, &mut io)?;
        let active = segments.last().map(Segment::open).transpose()?;
        if let (Some(file), Some(segment)) = (&active, segments.last()) {
            // What a killed process wrote last may not be durable yet.
            (io.sync)(file).context(SyncSnafu { path: &segment.path })?;
        }
        let storage =
            Self { files, framing, io, segments, active, unsynced: Vec::new(), failed: false };
        Ok((storage, recovered))
    }

    /// Takes entries to be written by the next sync; they replace those at and
    /// after the first index.
    pub fn append(&mut self, entries: Vec<Entry>) {
        self.unsynced.extend(entries);
    }

    /// Makes the appended entries durable.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        self.guarded(Self::write_batch)
    }

    /// Makes a vote durable.
    pub fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        self.guarded(|storage| {
            file::replace(&mut storage.io, &storage.framing, &storage.files.vote, vote)
        })
    }

    /// Makes a snapshot durable, and drops the part of the log that it covers,
    /// or all of it when the snapshot came from a leader.
    pub fn save_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
        drop_log: bool,
    ) -> Result<(), StorageError> {
        self.sync()?;
        let record = SnapshotRecord { meta: meta.clone(), data: ByteBuf::from(data) };
        self.guarded(|storage| {
            let path = &storage.files.snapshot;
            file::replace(&mut storage.io, &storage.framing, path, &record)?;
            if drop_log { storage.drop_log() } else { storage.drop_covered(record.meta.index) }
        })
    }

    /// Notes that a damaged log has been fetched again.
    pub fn finish_refetch(&mut self) -> Result<(), StorageError> {
        self.sync()?;
        self.guarded(|storage| file::remove(&mut storage.io, &storage.files.refetch))
    }

    fn guarded(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return FailedSnafu { path: &self.files.folder }.fail();
        }
        let written = write(self);
        self.failed = written.is_err();
        written
    }

    fn write_batch(&mut self) -> Result<(), StorageError> {
        if self.segments.last().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES) {
            self.roll()?;
        }
        let batch = mem::take(&mut self.unsynced);
        let frame = self.framing.encode(&batch);
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.last_mut()) else {
            return FailedSnafu { path: &self.files.folder }.fail();
        };
        (self.io.write)(file, &frame).map_err(|e| StorageError::of_write(&segment.path, e))?;
        (self.io.sync)(file).context(SyncSnafu { path: &segment.path })?;
        segment.bytes += frame.len() as u64;
        let newest = batch.iter().map(|entry| entry.index).max().unwrap_or(0);
        segment.max_index = segment.max_index.max(newest);
        Ok(())
    }

    fn roll(&mut self) -> Result<(), StorageError> {
        let sequence = self.segments.last().map_or(0, |segment| segment.sequence + 1);
        let segment = Segment::new(&self.files.folder, sequence);
        self.active = Some(segment.open()?);
        file::sync_folder_of(&mut self.io, &segment.path)?;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes the segments, the newest first, so that no gap shows after a crash.
    fn drop_log(&mut self) -> Result<(), StorageError> {
        self.active = None;
        while let Some(segment) = self.segments.pop() {
            file::remove(&mut self.io, &segment.path)?;
        }
        Ok(())
    }

    /// Removes closed segments from the oldest on that hold nothing newer.
    fn drop_covered(&mut self, index: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            let segment = self.segments.remove(0);
            file::remove(&mut self.io, &segment.path)?;
        }
        Ok(())
    }
}
