//! Contents of the simulated disk of a node.

use anvillift_consensus::Snapshot;
use anvillift_schema::consensus::{Entry, Vote};

/// Contents of a simulated disk. Each node has two of them: one with all writes,
/// and one with the synced writes, which survive a crash.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    pub(crate) vote: Option<Vote>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) refetch_upto: Option<u64>,
}

impl Disk {
    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(entries);
    }

    pub(super) fn last_index(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        self.entries.last().map_or(snapshot, |entry| entry.index)
    }
}
