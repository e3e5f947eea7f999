//! In-memory part of the log, and the voters that its entries define.

use std::collections::VecDeque;

use anvillift_schema::consensus::{Entry, EntryBody, VoterSet};

/// Size added for each entry when the size of a message is estimated, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Entries after `offset_index`; the earlier ones are covered by a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    offset_index: u64,
    offset_term: u64,
    offset_voters: VoterSet,
    entries: VecDeque<Entry>,
    /// Indices of the entries with [`EntryBody::Voters`], in ascending order.
    voter_indices: Vec<u64>,
}

impl Log {
    /// Creates an empty log whose first entry will have the next index.
    pub(crate) fn starting_after(index: u64, term: u64, voters: VoterSet) -> Self {
        Self {
            offset_index: index,
            offset_term: term,
            offset_voters: voters,
            entries: VecDeque::new(),
            voter_indices: Vec::new(),
        }
    }

    /// Index before the first entry in memory.
    pub(crate) fn offset_index(&self) -> u64 {
        self.offset_index
    }

    /// Index of the last entry, or `offset_index` if there are no entries.
    pub(crate) fn last_index(&self) -> u64 {
        self.offset_index + self.entries.len() as u64
    }

    /// Term of the entry at `last_index`.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.offset_term, |entry| entry.term)
    }

    /// Term of the entry at an index, or `None` if the entry was compacted or
    /// does not exist yet.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.offset_index {
            return Some(self.offset_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at an index, or `None` if it was compacted or does not exist yet.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.offset_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends an entry, which must have the next index.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if matches!(entry.body, EntryBody::Voters(_)) {
            self.voter_indices.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries at and after an index.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.offset_index + 1) as usize;
        self.entries.truncate(kept);
        self.voter_indices.retain(|&voter_index| voter_index < index);
    }

    /// Removes the entries up to and including an index, after they are covered
    /// by a snapshot.
    pub(crate) fn drop_upto(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        self.offset_voters = self.voters_at(index).clone();
        self.entries.drain(..(index - self.offset_index) as usize);
        self.voter_indices.retain(|&voter_index| voter_index > index);
        self.offset_index = index;
        self.offset_term = term;
    }

    /// Newest voters. They are in force as soon as their entry is in the log,
    /// whether or not it is committed.
    pub(crate) fn voters(&self) -> &VoterSet {
        self.voters_at(self.last_index())
    }

    /// Voters in force at an index.
    pub(crate) fn voters_at(&self, index: u64) -> &VoterSet {
        let newest = self.voter_indices.iter().rev().find(|&&voter_index| voter_index <= index);
        match newest.and_then(|&newest| self.entry(newest)).map(|entry| &entry.body) {
            Some(EntryBody::Voters(voters)) => voters,
            _ => &self.offset_voters,
        }
    }

    /// Index of the entry with the newest voters, or 0 if they come from a
    /// snapshot.
    pub(crate) fn voters_index(&self) -> u64 {
        self.voter_indices.last().copied().unwrap_or(0)
    }

    /// Copies entries from an index on, limited in number and size. At least one
    /// entry is returned if there is any.
    pub(crate) fn slice(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let start = from.saturating_sub(self.offset_index + 1) as usize;
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(start).take(max_entries) {
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Size of the entries after an index, in bytes.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let skipped = index.saturating_sub(self.offset_index) as usize;
        self.entries.iter().skip(skipped).map(entry_bytes).sum()
    }

    /// The lowest index after which the entries up to `upto` take at most `max_bytes`.
    pub(crate) fn first_index_within(&self, upto: u64, max_bytes: usize) -> u64 {
        let mut index = upto;
        let mut bytes = 0;
        while let Some(entry) = self.entry(index) {
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                break;
            }
            index -= 1;
        }
        index
    }

    /// Whether a log with the given last term and index is at least as up to date
    /// as this one.
    pub(crate) fn is_covered_by(&self, last_term: u64, last_index: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Last index before `index` whose entry is of another term, or
    /// `offset_index` if there is none in memory.
    pub(crate) fn last_index_of_earlier_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut candidate = index;
        while candidate > self.offset_index && self.term_at(candidate) == term {
            candidate -= 1;
        }
        candidate
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    let body = match &entry.body {
        EntryBody::Command(command) => command.len(),
        EntryBody::Noop(_) | EntryBody::Voters(_) => 0,
    };
    body + ENTRY_OVERHEAD_BYTES
}
