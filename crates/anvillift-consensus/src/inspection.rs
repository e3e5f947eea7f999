//! What users of a replica can learn about its state.

use anvillift_schema::consensus::{Entry, VoterSet};

use crate::replica::Replica;
use crate::role::Role;
use crate::status::ReplicaStatus;

impl Replica {
    /// Size of the entries in memory after an index, in bytes.
    pub fn bytes_after(&self, index: u64) -> usize {
        self.log.bytes_after(index)
    }

    /// Whether a read can be served on this replica without contacting the
    /// others. That is the case for a leader with a valid lease that has
    /// committed an entry of its own term.
    pub fn can_serve_reads(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        self.settings.lease_reads
            && leadership.transfer_deadline_ms.is_none()
            && self.commit_index >= leadership.first_index
            && now_ms < self.lease_until_ms(leadership, now_ms)
    }

    /// Returns a copy of the state that operators see.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            role: self.role_kind(),
            leader: self.leader.clone(),
            term: self.vote.term,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            voters: self.log.voters().clone(),
            voters_index: self.log.voters_index(),
            refetching: self.refetch_upto.is_some(),
        }
    }

    /// Term of the entry at an index, or `None` if the entry was compacted or
    /// does not exist yet.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Voters in force at an index, which is that of a log entry or of the newest
    /// snapshot.
    pub fn voters_at(&self, index: u64) -> &VoterSet {
        self.log.voters_at(index)
    }

    /// Index of the last entry for which [`Effect::Apply`] was returned, or that
    /// a snapshot covers.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Entry at an index, or `None` if it was compacted or does not exist yet.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.entry(index)
    }
}
