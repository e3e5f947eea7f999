//! What the leader knows of another replica.

/// Progress of one voter or learner.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index known to be durable there.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Send time of the newest message that it answered.
    pub(crate) acked_ms: u64,
    /// Whether the log is known to match at `next_index - 1`.
    pub(crate) matched: bool,
    /// Snapshot being sent: its index and the offset wanted next.
    pub(crate) snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// Progress of a replica of which nothing is known yet.
    pub(crate) fn new(next_index: u64) -> Self {
        Self { match_index: 0, next_index, acked_ms: 0, matched: false, snapshot: None }
    }

    /// Records that the log matches up to an index.
    pub(crate) fn accept(&mut self, match_index: u64) {
        self.matched = true;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Goes back to a hint; the match falls too, since a replica whose log was
    /// damaged no longer holds what it once acknowledged.
    /// Says whether that is news: of many messages on their way, each is refused.
    pub(crate) fn reject(&mut self, hint_index: u64) -> bool {
        let news = self.matched || hint_index + 1 < self.next_index;
        self.matched = false;
        self.match_index = self.match_index.min(hint_index);
        self.next_index = (hint_index + 1).min(self.next_index);
        news
    }
}
