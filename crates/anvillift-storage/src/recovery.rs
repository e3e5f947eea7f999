//! What a group's storage holds when it is opened.

use anvillift_schema::consensus::{Entry, SnapshotMeta, Vote};

use crate::error::{DamagedSnafu, StorageError};
use crate::file;
use crate::frame::Framing;
use crate::group::{GroupFiles, SnapshotRecord};
use crate::io::Io;
use crate::segment::{Segment, SegmentContent};

/// What was wrong with the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repair {
    /// Nothing.
    None,
    /// A write that a crash had torn was cut.
    TornTailCut,
    /// Damage was found before good frames; the log must be fetched again.
    Damaged,
}

/// State read from the storage of a group.
#[derive(Clone, Debug)]
pub struct RecoveredGroup {
    /// Vote.
    pub vote: Option<Vote>,
    /// Newest snapshot.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Highest index ever held, while a damaged log is fetched again.
    pub refetch_upto: Option<u64>,
    /// What was repaired.
    pub repair: Repair,
}

/// The log as far as it is good.
struct Replayed {
    segments: Vec<Segment>,
    entries: Vec<Entry>,
    repair: Repair,
    lost_upto: u64,
}

/// Reads and repairs the files of a group; gives the segments that remain.
pub(crate) fn recover(
    files: &GroupFiles,
    framing: &Framing,
    io: &mut Io,
) -> Result<(RecoveredGroup, Vec<Segment>), StorageError> {
    let vote = file::read(framing, &files.vote)?;
    let snapshot: Option<SnapshotRecord> = file::read(framing, &files.snapshot)?;
    let marked: Option<u64> = file::read(framing, &files.refetch)?;
    let mut replayed = replay(files, framing, io, marked)?;
    let snapshot = snapshot.map(|record| (record.meta, record.data.into_vec()));
    let keeps = keeps_log(snapshot.as_ref().map(|(meta, _)| meta), &replayed.entries);
    if !keeps {
        drop_segments(io, &mut replayed.segments)?;
        replayed.entries.clear();
    }
    let snapshot_index = snapshot.as_ref().map_or(0, |(meta, _)| meta.index);
    let first = replayed.entries.first().map_or(snapshot_index + 1, |entry| entry.index);
    if first > snapshot_index + 1 {
        return DamagedSnafu { path: &files.folder }.fail();
    }
    replayed.entries.retain(|entry| entry.index > snapshot_index);
    let damaged = replayed.repair == Repair::Damaged;
    let refetch_upto = marked.max(damaged.then_some(replayed.lost_upto));
    let recovered = RecoveredGroup {
        vote,
        snapshot,
        entries: replayed.entries,
        refetch_upto,
        repair: replayed.repair,
    };
    Ok((recovered, replayed.segments))
}

/// Whether the log goes on from the snapshot; one that does not is left from
/// an installation that a crash cut short.
fn keeps_log(meta: Option<&SnapshotMeta>, entries: &[Entry]) -> bool {
    let (Some(meta), Some(last)) = (meta, entries.last()) else { return true };
    let at_snapshot = entries.iter().find(|entry| entry.index == meta.index);
    last.index >= meta.index && at_snapshot.is_none_or(|entry| entry.term == meta.term)
}

fn replay(
    files: &GroupFiles,
    framing: &Framing,
    io: &mut Io,
    marked: Option<u64>,
) -> Result<Replayed, StorageError> {
    let segments = Segment::list(&files.folder)?;
    let mut replayed =
        Replayed { segments: Vec::new(), entries: Vec::new(), repair: Repair::None, lost_upto: 0 };
    let count = segments.len();
    let mut next_sequence = segments.first().map_or(0, |segment| segment.sequence);
    let mut rest = segments.into_iter().enumerate();
    while let Some((position, mut segment)) = rest.next() {
        let content = segment.read(framing)?;
        let missing = segment.sequence != next_sequence;
        next_sequence = segment.sequence + 1;
        let gap = missing || !follow_on(&replayed.entries, &content.batches);
        if !gap {
            add_batches(&mut replayed.entries, &content.batches);
        }
        if content.whole && !gap {
            segment.note(&content);
            replayed.segments.push(segment);
            continue;
        }
        let later: Vec<Segment> = rest.map(|(_, later)| later).collect();
        let torn = !gap && position + 1 == count && content.max_index_after.is_none();
        replayed.repair = if torn { Repair::TornTailCut } else { Repair::Damaged };
        if !torn {
            replayed.lost_upto = highest_index(framing, &replayed.entries, &content, &later)?;
            let upto = marked.max(Some(replayed.lost_upto));
            file::replace(io, framing, &files.refetch, &upto)?;
        }
        remove_all(io, later)?;
        replayed.segments.push(cut(segment, content, gap)?);
        break;
    }
    Ok(replayed)
}

/// Cuts a segment after its good frames, or all of it when it does not follow on.
fn cut(mut segment: Segment, content: SegmentContent, gap: bool) -> Result<Segment, StorageError> {
    let good_bytes = if gap { 0 } else { content.good_bytes };
    segment.cut(good_bytes)?;
    segment.note(&SegmentContent { good_bytes, ..content });
    Ok(segment)
}

/// Whether the batches go on from the entries without a gap.
fn follow_on(entries: &[Entry], batches: &[Vec<Entry>]) -> bool {
    let mut next_index = entries.last().map(|last| last.index + 1);
    batches.iter().flatten().all(|entry| {
        let follows = entry.index > 0 && next_index.is_none_or(|next| entry.index <= next);
        next_index = Some(entry.index + 1);
        follows
    })
}

/// Replays batches: an entry that is there already is replaced with all after it.
fn add_batches(entries: &mut Vec<Entry>, batches: &[Vec<Entry>]) {
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
    fn note(&mut self, content: &SegmentContent) {
        let indices = content.batches.iter().flatten().map(|entry| entry.index);
        self.max_index = indices.max().unwrap_or(0);
        self.bytes = content.good_bytes as u64;
    }
}

/// Removes segments, the newest first, so that no gap shows after a crash.
fn remove_all(io: &mut Io, segments: Vec<Segment>) -> Result<(), StorageError> {
    for segment in segments.iter().rev() {
        file::remove(io, &segment.path)?;
    }
    Ok(())
}

fn drop_segments(io: &mut Io, segments: &mut Vec<Segment>) -> Result<(), StorageError> {
    while let Some(segment) = segments.pop() {
        file::remove(io, &segment.path)?;
    }
    Ok(())
}
