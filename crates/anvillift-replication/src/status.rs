//! What is known of a group from outside.

use std::time::{Duration, Instant};

use anvillift_consensus::{ReplicaStatus, RoleKind};
use anvillift_schema::consensus::VoterSet;
use anvillift_schema::name::Name;

/// State of the own replica of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupStatus {
    /// Role.
    pub role: RoleKind,
    /// Leader, if known.
    pub leader: Option<Name>,
    /// Term.
    pub term: u64,
    /// Committed index.
    pub commit_index: u64,
    /// Newest voters and learners.
    pub voters: VoterSet,
    /// Whether a damaged log is being fetched again.
    pub refetching: bool,
    /// Whether the storage failed and the replica takes no part any more.
    pub failed: bool,
    /// Since when this replica leads.
    pub led_since: Option<Instant>,
}

impl GroupStatus {
    /// How long this replica has led, if it does.
    pub fn led_for(&self) -> Option<Duration> {
        self.led_since.map(|since| since.elapsed())
    }

    pub(crate) fn new(status: ReplicaStatus, failed: bool) -> Self {
        Self {
            role: if failed { RoleKind::Follower } else { status.role },
            leader: status.leader.filter(|_| !failed),
            term: status.term,
            commit_index: status.commit_index,
            voters: status.voters,
            refetching: status.refetching,
            failed,
            led_since: None,
        }
    }
}
