//! The replicas to which the leader sends the log.

use std::collections::BTreeMap;

use anvillift_schema::consensus::Voter;

use crate::progress::Progress;
use crate::replica::Replica;
use crate::role::Role;

impl Replica {
    /// Updates the set of tracked replicas after a membership change.
    pub(crate) fn track_replicas(&mut self) {
        let others = self.followers();
        let next_index = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else { return };
        let mut progress = BTreeMap::new();
        for replica in others {
            let key = Self::key(&replica);
            let existing = leadership.progress.remove(&key);
            progress.insert(key, existing.unwrap_or_else(|| Progress::new(next_index)));
        }
        leadership.progress = progress;
    }

    pub(crate) fn other_replicas(&self) -> Vec<Voter> {
        let voters = self.log.voters();
        let all = voters.voters.iter().chain(&voters.learners);
        all.filter(|replica| **replica != self.identity).cloned().collect()
    }

    /// The replicas that receive the log: the members, and one that was removed just now.
    pub(crate) fn followers(&self) -> Vec<Voter> {
        let mut followers = self.other_replicas();
        if let Some(removed) = self.removed_replica()
            && !followers.contains(removed)
        {
            followers.push(removed.clone());
        }
        followers
    }

    pub(crate) fn removed_replica(&self) -> Option<&Voter> {
        let Role::Leader(leadership) = &self.role else { return None };
        leadership.removed.as_ref().map(|removed| &removed.replica)
    }

    /// Ends the replication to a removed replica once its time is over.
    pub(crate) fn tick_removed(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.removed.as_ref().is_some_and(|removed| now_ms >= removed.until_ms) {
            leadership.removed = None;
            self.track_replicas();
        }
    }
}
