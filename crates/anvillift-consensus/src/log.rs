//! The entries held in memory and the voters that they give.

use std::collections::VecDeque;

use anvillift_schema::consensus::{Entry, EntryBody, VoterSet};

/// Fixed size counted for each entry of a message, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The log after `offset_index`.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    offset_index: u64,
    offset_term: u64,
    offset_voters: VoterSet,
    entries: VecDeque<Entry>,
    /// Indices of the entries that hold voters.
    voter_indices: Vec<u64>,
}

impl Log {
    /// An empty log that starts after an index.
    pub(crate) fn starting_after(index: u64, term: u64, voters: VoterSet) -> Self {
        Self {
            offset_index: index,
            offset_term: term,
            offset_voters: voters,
            entries: VecDeque::new(),
            voter_indices: Vec::new(),
        }
    }

    /// Index before the first entry held.
    pub(crate) fn offset_index(&self) -> u64 {
        self.offset_index
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> u64 {
        self.offset_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.offset_term, |entry| entry.term)
    }

    /// Term of an entry, unless it is dropped or not yet there.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.offset_index {
            return Some(self.offset_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// An entry that is held.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.offset_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Adds an entry at the end.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if matches!(entry.body, EntryBody::Voters(_)) {
            self.voter_indices.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.offset_index + 1) as usize;
        self.entries.truncate(kept);
        self.voter_indices.retain(|&voters| voters < index);
    }

    /// Drops the entries up to an index.
    pub(crate) fn drop_upto(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        self.offset_voters = self.voters_at(index).clone();
        self.entries.drain(..(index - self.offset_index) as usize);
        self.voter_indices.retain(|&voters| voters > index);
        self.offset_index = index;
        self.offset_term = term;
    }

    /// The newest voters, which hold from the moment they are in the log.
    pub(crate) fn voters(&self) -> &VoterSet {
        self.voters_at(self.last_index())
    }

    /// The voters as of an index.
    pub(crate) fn voters_at(&self, index: u64) -> &VoterSet {
        let newest = self.voter_indices.iter().rev().find(|&&voters| voters <= index);
        match newest.and_then(|&newest| self.entry(newest)).map(|entry| &entry.body) {
            Some(EntryBody::Voters(voters)) => voters,
            _ => &self.offset_voters,
        }
    }

    /// Index of the entry that holds the newest voters, or 0.
    pub(crate) fn voters_index(&self) -> u64 {
        self.voter_indices.last().copied().unwrap_or(0)
    }

    /// Entries from an index on, bounded in number and size.
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

    /// Whether a log that ends as given holds at least what this one does.
    pub(crate) fn is_covered_by(&self, last_term: u64, last_index: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Last index before an index that is not of the same term.
    pub(crate) fn before_term_of(&self, index: u64) -> u64 {
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
