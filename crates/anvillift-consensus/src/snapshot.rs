//! Snapshots of the state machine to which the log is applied.

use std::sync::Arc;

use anvillift_schema::consensus::SnapshotMeta;

/// Encoded state of the state machine at an index of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Last index and term that the snapshot covers, and the voters at that
    /// index.
    pub meta: SnapshotMeta,
    /// Encoded state, whose format the state machine defines.
    pub data: Arc<Vec<u8>>,
}

/// A snapshot that is being received in chunks.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) meta: SnapshotMeta,
    pub(crate) data: Vec<u8>,
}
