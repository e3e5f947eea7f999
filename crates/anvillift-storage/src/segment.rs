//! Files of the log.

use std::fs;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use anvillift_schema::consensus::Entry;
use snafu::ResultExt;

use crate::error::{DamagedSnafu, FileSnafu, StorageError};
use crate::frame::Framing;

const PREFIX: &str = "log-";
const SUFFIX: &str = ".segment";

/// A file of the log.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) path: PathBuf,
    /// Highest index written to it.
    pub(crate) max_index: u64,
    pub(crate) bytes: u64,
}

/// Frames of a segment up to the first bad one.
pub(crate) struct SegmentContent {
    pub(crate) batches: Vec<Vec<Entry>>,
    pub(crate) good_bytes: usize,
    /// Highest index in good frames after the bad one, if there are any.
    pub(crate) max_index_after: Option<u64>,
    pub(crate) whole: bool,
}

impl Segment {
    /// An empty segment in a folder.
    pub(crate) fn new(folder: &Path, sequence: u64) -> Self {
        let path = folder.join(format!("{PREFIX}{sequence:012}{SUFFIX}"));
        Self { sequence, path, max_index: 0, bytes: 0 }
    }

    /// The segments of a folder in order.
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

    /// Reads the frames.
    pub(crate) fn read(&self, framing: &Framing) -> Result<SegmentContent, StorageError> {
        let bytes = fs::read(&self.path).context(FileSnafu { path: &self.path })?;
        Ok(parse(framing, &bytes))
    }

    /// Opens the file for writing at its end.
    pub(crate) fn open(&self) -> Result<File, StorageError> {
        let opened = OpenOptions::new().create(true).append(true).open(&self.path);
        opened.map_err(|source| StorageError::of_write(&self.path, source))
    }

    /// Drops everything after the good bytes.
    pub(crate) fn cut(&self, good_bytes: usize) -> Result<(), StorageError> {
        let opened = OpenOptions::new().write(true).open(&self.path);
        let file = opened.context(FileSnafu { path: &self.path })?;
        file.set_len(good_bytes as u64).context(FileSnafu { path: &self.path })
    }
}

fn parse(framing: &Framing, bytes: &[u8]) -> SegmentContent {
    let mut content =
        SegmentContent { batches: Vec::new(), good_bytes: 0, max_index_after: None, whole: true };
    while content.good_bytes < bytes.len() {
        match framing.decode::<Vec<Entry>>(&bytes[content.good_bytes..]) {
            Ok((batch, size)) => {
                content.batches.push(batch);
                content.good_bytes += size;
            }
            Err(_) => {
                content.whole = false;
                content.max_index_after = max_index_after(framing, bytes, content.good_bytes);
                return content;
            }
        }
    }
    content
}

fn max_index_after(framing: &Framing, bytes: &[u8], bad_offset: usize) -> Option<u64> {
    let mut max_index = None;
    let mut offset = bad_offset + 1;
    while let Some(found) = framing.find(bytes, offset) {
        offset = found + 1;
        if let Ok((batch, size)) = framing.decode::<Vec<Entry>>(&bytes[found..]) {
            offset = found + size;
            let newest = batch.iter().map(|entry| entry.index).max().unwrap_or(0);
            max_index = max_index.max(Some(newest));
        }
    }
    max_index
}
