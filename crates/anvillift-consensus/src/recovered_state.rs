//! What a replica continues from when it starts.

use anvillift_schema::consensus::{Entry, Vote};

use crate::snapshot::Snapshot;

/// State that a replica reads from its storage when it starts.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Last durable term and vote, or `None` on an empty storage.
    pub vote: Option<Vote>,
    /// Newest durable snapshot, or `None` if none was taken.
    pub snapshot: Option<Snapshot>,
    /// Durable entries that the snapshot does not cover, in ascending order.
    pub entries: Vec<Entry>,
    /// Highest index that the log held before it was damaged. The replica grants
    /// no votes until it has received the log up to this index again.
    pub refetch_upto: Option<u64>,
}
