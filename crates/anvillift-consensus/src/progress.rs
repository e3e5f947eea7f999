//! Replication progress of another replica, as tracked by the leader.

/// Replication progress of one voter or learner.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index that the replica has acknowledged as durable.
    pub(crate) match_index: u64,
    /// Index of the next entry to send to the replica.
    pub(crate) next_index: u64,
    /// Send time of the newest message that the replica has answered.
    pub(crate) acked_ms: u64,
    /// Whether the replica has confirmed that its log matches just before
    /// `next_index`. Until then, the leader sends no entries ahead of the answers.
    pub(crate) matched: bool,
    /// Snapshot that is being sent: its index, and the offset of the next chunk.
    pub(crate) snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// Initial progress of a replica that has not answered yet.
    pub(crate) fn new(next_index: u64) -> Self {
        Self { match_index: 0, next_index, acked_ms: 0, matched: false, snapshot: None }
    }

    /// Records that the replica's log matches up to an index.
    pub(crate) fn record_match(&mut self, match_index: u64) {
        self.matched = true;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Moves back to the index that the replica suggested after a mismatch. The
    /// match index decreases too, since a replica whose log was damaged no longer
    /// holds everything that it acknowledged.
    ///
    /// Returns whether the progress changed. A replica rejects each of several
    /// messages in flight, and only the first rejection needs a new probe.
    pub(crate) fn record_mismatch(&mut self, hint_index: u64) -> bool {
        let changed = self.matched || hint_index + 1 < self.next_index;
        self.matched = false;
        self.match_index = self.match_index.min(hint_index);
        self.next_index = (hint_index + 1).min(self.next_index);
        changed
    }
}
