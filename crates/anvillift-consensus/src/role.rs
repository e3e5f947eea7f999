//! Roles of a replica and the state that belongs to each of them.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::consensus::Voter;
use anvillift_schema::name::Name;

use crate::progress::Progress;

/// Identity of a replica as a map key: its host and storage id.
pub(crate) type ReplicaKey = (Name, Name);

/// Role of a replica, without the state that belongs to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RoleKind {
    /// Receives entries from a leader, or waits for one to be elected.
    #[display("follower")]
    Follower,
    /// Runs a pre-vote or an election.
    #[display("candidate")]
    Candidate,
    /// Replicates its log to the other replicas and accepts requests.
    #[display("leader")]
    Leader,
}

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    Candidate(Candidacy),
    Leader(Leadership),
}

/// A pre-vote or election in which this replica is the candidate.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub(crate) term: u64,
    pub(crate) pre_vote: bool,
    pub(crate) votes: BTreeSet<ReplicaKey>,
}

/// State that exists while this replica is the leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<ReplicaKey, Progress>,
    /// Ids of the proposals that are not committed yet, by the index of their
    /// entry.
    pub(crate) proposals: BTreeMap<u64, u64>,
    pub(crate) reads: Vec<PendingRead>,
    /// Index of the first entry of the leader's term.
    pub(crate) first_index: u64,
    /// Time at which this replica became the leader.
    pub(crate) since_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    /// Set during a leadership transfer: the time at which the leader steps down
    /// even if no voter has caught up.
    pub(crate) transfer_deadline_ms: Option<u64>,
    /// The replica that was removed last. It still receives the log for a short time, so
    /// that it learns that its removal is committed.
    pub(crate) removed: Option<RemovedReplica>,
}

/// A replica that is no longer a member of the group.
#[derive(Clone, Debug)]
pub(crate) struct RemovedReplica {
    pub(crate) replica: Voter,
    /// Time until which it receives the log.
    pub(crate) until_ms: u64,
}

/// A read that waits until a majority confirms the leadership.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) request_id: u64,
    pub(crate) requested_ms: u64,
    pub(crate) index: u64,
}
