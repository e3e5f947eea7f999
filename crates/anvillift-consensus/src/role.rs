//! The role of a replica and the state that goes with it.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;

use crate::progress::Progress;

/// Key of a replica: its host and storage id.
pub(crate) type ReplicaKey = (Name, Name);

/// The role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RoleKind {
    /// Follows a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads the group.
    #[display("leader")]
    Leader,
}

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    Candidate(Candidacy),
    Leader(Leadership),
}

/// An election that this replica stands for.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub(crate) term: u64,
    pub(crate) pre_vote: bool,
    pub(crate) votes: BTreeSet<ReplicaKey>,
}

/// State of a leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<ReplicaKey, Progress>,
    /// Requests that wait for their entry, by index.
    pub(crate) proposals: BTreeMap<u64, u64>,
    pub(crate) reads: Vec<PendingRead>,
    /// Index of the first entry of the own term.
    pub(crate) first_index: u64,
    /// When this replica became leader.
    pub(crate) since_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    /// Leadership is handed over, and given up at this time in any case.
    pub(crate) transfer_until_ms: Option<u64>,
}

/// A read that waits for a proof of leadership.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) request_id: u64,
    pub(crate) asked_ms: u64,
    pub(crate) index: u64,
}
