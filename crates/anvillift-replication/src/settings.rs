//! Settings of a group's driver.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use anvillift_storage::{GroupStorage, RecoveredGroup};

/// Sends a message to a host; it may be lost.
pub type SendFn = Arc<dyn Fn(Name, ConsensusEnvelope) + Send + Sync>;

/// Times of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// Shortest election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Further wait of each voter behind the one before it, in milliseconds;
    /// 0 where each draws its wait by lot.
    pub election_step_ms: u64,
    /// Between heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Whether the leader reads under a lease; without one a group that starts
    /// again finds its leader sooner, and reads wait for a majority.
    pub reads_by_lease: bool,
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            election_step_ms: 0,
            heartbeat_ms: 200,
            reads_by_lease: true,
        }
    }
}

/// Storage of a group with what it held when it was opened.
#[derive(Debug)]
pub struct OpenedGroup {
    /// Storage.
    pub storage: GroupStorage,
    /// What it held.
    pub recovered: RecoveredGroup,
}

/// Settings of a [`GroupDriver`](crate::GroupDriver).
#[derive(Debug)]
pub struct GroupDriverSettings {
    /// Name of the group.
    pub group: Name,
    /// The own host and the id of its storage, or of this start without one.
    pub identity: Voter,
    /// Hosts that form the group.
    pub voters: Vec<Name>,
    /// Storage; a group without one lives in memory.
    pub storage: Option<OpenedGroup>,
    /// Times.
    pub timing: GroupTiming,
    /// Entries between snapshots.
    pub snapshot_entries: u64,
    /// Whether a host that comes back with another storage id is replaced
    /// without an operator; for groups in memory.
    pub replace_restarted: bool,
    /// Start of the random choices.
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
            replace_restarted: false,
            seed: 0,
        }
    }
}
