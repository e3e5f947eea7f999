//! Settings with which the driver of a group is started.

use std::fmt;
use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use anvillift_storage::{GroupStorage, RecoveredGroup, StorageError};

/// Sends a message to a host. The message may be lost.
pub type SendFn = Arc<dyn Fn(Name, ConsensusEnvelope) + Send + Sync>;

type OpenFn = Box<dyn FnMut() -> Result<OpenedGroup, StorageError> + Send>;

/// Timing of elections and heartbeats, and how the leader serves reads.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// Minimum election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Additional election delay of each voter relative to the voter before it,
    /// in milliseconds. At 0, each voter draws a random delay instead.
    pub election_step_ms: u64,
    /// Interval between heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Whether the leader serves reads under a lease. Without a lease, a
    /// restarted group elects its leader sooner, and every read waits for a
    /// majority.
    pub lease_reads: bool,
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            election_step_ms: 0,
            heartbeat_ms: 200,
            lease_reads: true,
        }
    }
}

/// Storage of a group and the state that was recovered when it was opened.
#[derive(Debug)]
pub struct OpenedGroup {
    /// Id of the storage, which identifies the replica.
    pub storage_id: Name,
    /// Open storage, into which the driver writes.
    pub storage: GroupStorage,
    /// State that the storage held when it was opened.
    pub recovered: RecoveredGroup,
}

/// Opens the storage of a group, when its driver starts and again after a storage fault.
pub struct StorageOpener {
    /// Opens the storage. It is tried again after an error.
    pub open: OpenFn,
}

impl StorageOpener {
    /// Creates an opener from a closure.
    pub fn new(open: impl FnMut() -> Result<OpenedGroup, StorageError> + Send + 'static) -> Self {
        Self { open: Box::new(open) }
    }
}

impl fmt::Debug for StorageOpener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StorageOpener")
    }
}

/// Settings of a [`GroupDriver`](crate::GroupDriver), fixed while it runs.
#[derive(Debug)]
pub struct GroupDriverSettings {
    /// Name of the group, which is part of its messages, log lines and metrics.
    pub group: Name,
    /// This host and, for a group without storage, an id that is new for each start. A group
    /// with storage takes the id of that.
    pub identity: Voter,
    /// Hosts that form the group when their storage is empty; the first one is the
    /// coordinator.
    pub voters: Vec<Name>,
    /// Storage of the group, or `None` for a group that is kept in memory only.
    pub storage: Option<StorageOpener>,
    /// Timing of elections and heartbeats.
    pub timing: GroupTiming,
    /// Number of applied entries after which the next snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the entries since the last snapshot after which the next one is taken, in bytes.
    pub snapshot_bytes: usize,
    /// Whether a host that restarts with another storage id is replaced
    /// automatically, without an operator. Meant for groups that are kept in
    /// memory only.
    pub replace_restarted_hosts: bool,
    /// Seed of the random election delays.
    pub seed: u64,
}

impl Default for GroupDriverSettings {
    fn default() -> Self {
        Self {
            group: Name::default(),
            identity: Voter { host: Name::default(), storage_id: Name::default() },
            voters: Vec::new(),
            storage: None,
            timing: GroupTiming::default(),
            snapshot_entries: 4_096,
            snapshot_bytes: 8 * 1024 * 1024,
            replace_restarted_hosts: false,
            seed: 0,
        }
    }
}
