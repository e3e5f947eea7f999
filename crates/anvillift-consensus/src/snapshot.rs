//! Snapshots of the machine under the log.

use std::sync::Arc;

use anvillift_schema::consensus::SnapshotMeta;

/// A snapshot and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Where it stands.
    pub meta: SnapshotMeta,
    /// State of the machine.
    pub data: Arc<Vec<u8>>,
}

/// A snapshot that arrives in parts.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) meta: SnapshotMeta,
    pub(crate) data: Vec<u8>,
}
