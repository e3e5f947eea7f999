//! The state of a replica for operators.

use anvillift_schema::consensus::VoterSet;
use anvillift_schema::name::Name;

use crate::role::RoleKind;

/// State of a replica as reported to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// Role in the current term.
    pub role: RoleKind,
    /// Host of the current leader, or `None` if it is not known.
    pub leader: Option<Name>,
    /// Current term, which never decreases.
    pub term: u64,
    /// Highest index that is known to be committed.
    pub commit_index: u64,
    /// Index of the last entry in the log, committed or not.
    pub last_index: u64,
    /// Newest voters and learners in the log, committed or not.
    pub voters: VoterSet,
    /// Index of the entry or snapshot that holds these voters.
    pub voters_index: u64,
    /// Whether entries lost from a damaged log are still being received again.
    pub refetching: bool,
}
