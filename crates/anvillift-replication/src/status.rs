//! Published state of a replica.

use std::time::{Duration, Instant};

use anvillift_consensus::{ReplicaStatus, RoleKind};
use anvillift_schema::consensus::VoterSet;
use anvillift_schema::name::Name;

/// State of the local replica of a group, as seen by other tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupStatus {
    /// Role in the current term; a failed replica is reported as a follower.
    pub role: RoleKind,
    /// Host of the leader, or `None` if none is known or this replica failed.
    pub leader: Option<Name>,
    /// Current term, which never decreases.
    pub term: u64,
    /// Highest index that is known to be committed.
    pub commit_index: u64,
    /// Newest voters and learners in the log, committed or not.
    pub voters: VoterSet,
    /// Index of the entry or snapshot that holds these voters.
    pub voters_index: u64,
    /// Whether entries lost from a damaged log are still being received again.
    pub refetching: bool,
    /// Whether the storage failed. The replica does nothing until the storage can be opened
    /// again.
    pub failed: bool,
    /// Time at which this replica became leader in its current term, or `None` if
    /// it is not the leader.
    pub leader_since: Option<Instant>,
}

impl GroupStatus {
    /// How long this replica has been the leader in its current term, or `None`
    /// if it is not the leader.
    pub fn time_as_leader(&self) -> Option<Duration> {
        self.leader_since.map(|since| since.elapsed())
    }

    /// Whether the newest voters in the log are committed.
    pub fn are_voters_committed(&self) -> bool {
        self.commit_index >= self.voters_index
    }

    pub(crate) fn new(status: ReplicaStatus, failed: bool) -> Self {
        Self {
            role: if failed { RoleKind::Follower } else { status.role },
            leader: status.leader.filter(|_| !failed),
            term: status.term,
            commit_index: status.commit_index,
            voters: status.voters,
            voters_index: status.voters_index,
            refetching: status.refetching,
            failed,
            leader_since: None,
        }
    }
}
