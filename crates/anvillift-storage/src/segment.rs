//! Segments, the files of which the log consists.

use std::fs;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use anvillift_schema::consensus::Entry;
use snafu::ResultExt;

use crate::error::{DamagedSnafu, FileSnafu, StorageError};
use crate::frame::Framing;

const PREFIX: &str = "log-";
const SUFFIX: &str = ".segment";

/// One file of the log, with consecutive frames.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) path: PathBuf,
    /// Highest index of the entries in the segment.
    pub(crate) max_index: u64,
    pub(crate) bytes: u64,
}

/// Frames of a segment before the first invalid one.
pub(crate) struct SegmentContent {
    pub(crate) batches: Vec<Vec<Entry>>,
    pub(crate) valid_bytes: usize,
    /// Highest index in valid frames after the first invalid one, or `None` if
    /// there are none.
    pub(crate) max_index_after: Option<u64>,
    pub(crate) is_complete: bool,
}

impl Segment {
    /// Describes a new segment in a folder without creating its file.
    pub(crate) fn new(folder: &Path, sequence: u64) -> Self {
        let path = folder.join(format!("{PREFIX}{sequence:012}{SUFFIX}"));
        Self { sequence, path, max_index: 0, bytes: 0 }
    }

    /// Lists the segments of a folder in ascending order.
    pub(crate) fn list(folder: &Path) -> Result<Vec<Self>, StorageError> {
        let mut segments = Vec::new();
        for entry in fs::read_dir(folder).context(FileSnafu { path: folder })? {
            let name = entry.context(FileSnafu { path: folder })?.file_name();
            let name = name.to_string_lossy();
            let number = name.strip_prefix(PREFIX).and_then(|name| name.strip_suffix(SUFFIX));
            if let Some(number) = number {
                let Ok(sequence) = number.parse() else {
                    return DamagedSnafu { path: folder.join(&*name) }.fail();
                };
                segments.push(Self::new(folder, sequence));
            }
        }
        segments.sort_by_key(|segment| segment.sequence);
        Ok(segments)
    }

    /// Reads and checks the frames of the segment.
    pub(crate) fn read(&self, framing: &Framing) -> Result<SegmentContent, StorageError> {
        let bytes = fs::read(&self.path).context(FileSnafu { path: &self.path })?;
        Ok(parse(framing, &bytes))
    }

    /// Opens the file for appending, and creates it if it does not exist.
    pub(crate) fn open(&self) -> Result<File, StorageError> {
        let opened = OpenOptions::new().create(true).append(true).open(&self.path);
        opened.map_err(|source| StorageError::from_write_error(&self.path, source))
    }

    /// Truncates the file after its valid frames.
    pub(crate) fn truncate(&self, valid_bytes: u64) -> Result<(), StorageError> {
        let opened = OpenOptions::new().write(true).open(&self.path);
        let file = opened.context(FileSnafu { path: &self.path })?;
        file.set_len(valid_bytes).context(FileSnafu { path: &self.path })
    }
}

fn parse(framing: &Framing, bytes: &[u8]) -> SegmentContent {
    let mut content = SegmentContent {
        batches: Vec::new(),
        valid_bytes: 0,
        max_index_after: None,
        is_complete: true,
    };
    while content.valid_bytes < bytes.len() {
        match framing.decode::<Vec<Entry>>(&bytes[content.valid_bytes..]) {
            Ok((batch, size)) => {
                content.batches.push(batch);
                content.valid_bytes += size;
            }
            Err(_) => {
                content.is_complete = false;
                content.max_index_after = max_index_after(framing, bytes, content.valid_bytes);
                return content;
            }
        }
    }
    content
}

fn max_index_after(framing: &Framing, bytes: &[u8], invalid_offset: usize) -> Option<u64> {
    let mut max_index = None;
    let mut offset = invalid_offset + 1;
    while let Some(frame_offset) = framing.find_next(bytes, offset) {
        offset = frame_offset + 1;
        if let Ok((batch, size)) = framing.decode::<Vec<Entry>>(&bytes[frame_offset..]) {
            offset = frame_offset + size;
            let newest = batch.iter().map(|entry| entry.index).max().unwrap_or(0);
            max_index = max_index.max(Some(newest));
        }
    }
    max_index
}
