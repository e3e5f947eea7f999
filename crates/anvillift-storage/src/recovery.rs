//! Recovery of the state of a group when its storage is opened.

use anvillift_schema::consensus::{Entry, SnapshotMeta, Vote};

use crate::error::{DamagedSnafu, StorageError};
use crate::file;
use crate::frame::Framing;
use crate::group::{GroupPaths, SnapshotRecord};
use crate::io::StorageIo;
use crate::segment::{Segment, SegmentContent};

/// Result of the check of a log when it is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repair {
    /// The log was valid.
    None,
    /// The last write was torn by a crash. It was never acknowledged, and was
    /// truncated.
    TornTailTruncated,
    /// Damage other than a torn last write was found: invalid bytes before the
    /// end of the log, or a gap. Everything from there on was dropped, and the
    /// replica must receive the log again before it votes.
    Damaged,
}

/// State recovered from the storage of a group.
#[derive(Clone, Debug)]
pub struct RecoveredGroup {
    /// Last durable term and vote, or `None` if there is none.
    pub vote: Option<Vote>,
    /// Newest durable snapshot, or `None` if there is none.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// Valid entries after the snapshot, in ascending order.
    pub entries: Vec<Entry>,
    /// Highest index that the log held before it was damaged, or `None` if no
    /// refetch is pending.
    pub refetch_upto: Option<u64>,
    /// Result of the check of the log.
    pub repair: Repair,
}

/// The valid prefix of the log.
struct ReplayedLog {
    segments: Vec<Segment>,
    entries: Vec<Entry>,
    repair: Repair,
    /// Highest index found in a damaged log, also after the damage, or 0 if the
    /// log is not damaged.
    damaged_upto: u64,
}

/// Reads the files of a group and repairs the log. Returns the recovered state
/// and the remaining segments.
pub(crate) fn recover(
    paths: &GroupPaths,
    framing: &Framing,
    io: &mut StorageIo,
) -> Result<(RecoveredGroup, Vec<Segment>), StorageError> {
    let vote = file::read(framing, &paths.vote)?;
    let snapshot: Option<SnapshotRecord> = file::read(framing, &paths.snapshot)?;
    let pending_refetch: Option<u64> = file::read(framing, &paths.refetch)?;
    let mut replayed = replay(paths, framing, io, pending_refetch)?;
    let snapshot = snapshot.map(|record| (record.meta, record.data.into_vec()));
    let keeps_entries =
        log_continues_snapshot(snapshot.as_ref().map(|(meta, _)| meta), &replayed.entries);
    if !keeps_entries {
        drop_segments(io, &mut replayed.segments)?;
        replayed.entries.clear();
    }
    let snapshot_index = snapshot.as_ref().map_or(0, |(meta, _)| meta.index);
    let first = replayed.entries.first().map_or(snapshot_index + 1, |entry| entry.index);
    if first > snapshot_index + 1 {
        return DamagedSnafu { path: &paths.folder }.fail();
    }
    replayed.entries.retain(|entry| entry.index > snapshot_index);
    let is_damaged = replayed.repair == Repair::Damaged;
    let refetch_upto = pending_refetch.max(is_damaged.then_some(replayed.damaged_upto));
    let recovered = RecoveredGroup {
        vote,
        snapshot,
        entries: replayed.entries,
        refetch_upto,
        repair: replayed.repair,
    };
    Ok((recovered, replayed.segments))
}

/// Whether the log continues the snapshot. If not, a crash interrupted the
/// installation of a snapshot before the old log was dropped.
fn log_continues_snapshot(meta: Option<&SnapshotMeta>, entries: &[Entry]) -> bool {
    let (Some(meta), Some(last)) = (meta, entries.last()) else { return true };
    let at_snapshot = entries.iter().find(|entry| entry.index == meta.index);
    last.index >= meta.index && at_snapshot.is_none_or(|entry| entry.term == meta.term)
}

fn replay(
    paths: &GroupPaths,
    framing: &Framing,
    io: &mut StorageIo,
    pending_refetch: Option<u64>,
) -> Result<ReplayedLog, StorageError> {
    let segments = Segment::list(&paths.folder)?;
    let mut replayed = ReplayedLog {
        segments: Vec::new(),
        entries: Vec::new(),
        repair: Repair::None,
        damaged_upto: 0,
    };
    let count = segments.len();
    let mut next_sequence = segments.first().map_or(0, |segment| segment.sequence);
    let mut rest = segments.into_iter().enumerate();
    while let Some((position, mut segment)) = rest.next() {
        let content = segment.read(framing)?;
        let is_segment_missing = segment.sequence != next_sequence;
        next_sequence = segment.sequence + 1;
        let has_gap = is_segment_missing || !is_contiguous(&replayed.entries, &content.batches);
        if !has_gap {
            replay_batches(&mut replayed.entries, &content.batches);
        }
        if content.is_complete && !has_gap {
            segment.update_extent(&content);
            replayed.segments.push(segment);
            continue;
        }
        let later: Vec<Segment> = rest.map(|(_, later)| later).collect();
        let is_torn_tail = !has_gap && position + 1 == count && content.max_index_after.is_none();
        replayed.repair = if is_torn_tail { Repair::TornTailTruncated } else { Repair::Damaged };
        if !is_torn_tail {
            replayed.damaged_upto = highest_index(framing, &replayed.entries, &content, &later)?;
            let upto = pending_refetch.max(Some(replayed.damaged_upto));
            file::replace(io, framing, &paths.refetch, &upto)?;
        }
        remove_all(io, later)?;
        replayed.segments.push(truncate_segment(segment, content, has_gap)?);
        break;
    }
    Ok(replayed)
}

/// Truncates a segment after its valid frames, or to zero length if it does not
/// continue the entries before it.
fn truncate_segment(
    mut segment: Segment,
    content: SegmentContent,
    has_gap: bool,
) -> Result<Segment, StorageError> {
    let valid_bytes = if has_gap { 0 } else { content.valid_bytes };
    segment.truncate(valid_bytes as u64)?;
    segment.update_extent(&SegmentContent { valid_bytes, ..content });
    Ok(segment)
}

/// Whether the batches continue the entries without a gap.
fn is_contiguous(entries: &[Entry], batches: &[Vec<Entry>]) -> bool {
    let mut next_index = entries.last().map(|last| last.index + 1);
    batches.iter().flatten().all(|entry| {
        let is_next = entry.index > 0 && next_index.is_none_or(|next| entry.index <= next);
        next_index = Some(entry.index + 1);
        is_next
    })
}

/// Adds the entries of batches. An entry whose index exists already replaces the
/// existing one and everything after it.
fn replay_batches(entries: &mut Vec<Entry>, batches: &[Vec<Entry>]) {
    for entry in batches.iter().flatten() {
        let first_index = entries.first().map_or(entry.index, |first| first.index);
        entries.truncate(entry.index.saturating_sub(first_index) as usize);
        entries.push(entry.clone());
    }
}

fn highest_index(
    framing: &Framing,
    entries: &[Entry],
    content: &SegmentContent,
    later: &[Segment],
) -> Result<u64, StorageError> {
    let mut highest = entries.last().map_or(0, |entry| entry.index);
    highest = highest.max(content.highest_index());
    for segment in later {
        highest = highest.max(segment.read(framing)?.highest_index());
    }
    Ok(highest)
}

impl SegmentContent {
    fn highest_index(&self) -> u64 {
        let indices = self.batches.iter().flatten().map(|entry| entry.index);
        indices.chain(self.max_index_after).max().unwrap_or(0)
    }
}

impl Segment {
    fn update_extent(&mut self, content: &SegmentContent) {
        let indices = content.batches.iter().flatten().map(|entry| entry.index);
        self.max_index = indices.max().unwrap_or(0);
        self.bytes = content.valid_bytes as u64;
    }
}

/// Removes segments, newest first, so that a crash in between leaves no gap in
/// the log.
fn remove_all(io: &mut StorageIo, segments: Vec<Segment>) -> Result<(), StorageError> {
    for segment in segments.iter().rev() {
        file::remove(io, &segment.path)?;
    }
    Ok(())
}

fn drop_segments(io: &mut StorageIo, segments: &mut Vec<Segment>) -> Result<(), StorageError> {
    while let Some(segment) = segments.pop() {
        file::remove(io, &segment.path)?;
    }
    Ok(())
}
