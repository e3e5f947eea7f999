//! Membership changes, one replica at a time, and leadership transfer.
//!
//! A new replica joins as a learner. Once it has caught up, the leader promotes
//! it to a voter. If a voter of the same host exists, as after a disk was
//! replaced, the leader removes that voter first. Each step starts only after the
//! previous one is committed.

use anvillift_schema::consensus::{ConsensusMessage, EntryBody, Voter, VoterSet};

use crate::effect::Effect;
use crate::propose_error::ProposeError;
use crate::replica::Replica;
use crate::role::{RemovedReplica, Role};

/// Time for which a removed replica still receives the log, in election timeouts.
const REMOVED_TIMEOUTS: u64 = 3;

/// Reasons for which a membership change is rejected.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum MembershipChangeError {
    /// This replica is not the leader.
    #[snafu(display("{source}"), context(false))]
    NotLeader {
        /// Rejection with the host of the leader, if that host is known.
        source: ProposeError,
    },
    /// An earlier membership change is not committed yet, or the leader has not
    /// committed an entry of its own term.
    #[snafu(display("an earlier change of the voters is not committed yet"))]
    InProgress,
    /// The replica to add is already a voter or a learner.
    #[snafu(display("the replica is already a member of the group"))]
    AlreadyMember,
    /// The replica to remove is neither a voter nor a learner.
    #[snafu(display("the replica is not a member of the group"))]
    NotMember,
    /// The replica to remove is the only voter, without which the group has no
    /// quorum.
    #[snafu(display("the last voter cannot be removed"))]
    LastVoter,
}

impl Replica {
    /// Adds a learner, which receives entries without voting. It is promoted to a
    /// voter once it has caught up, and replaces a voter of the same host if
    /// there is one.
    pub fn add_learner(
        &mut self,
        now_ms: u64,
        learner: Voter,
    ) -> Result<Vec<Effect>, MembershipChangeError> {
        self.check_accepts_proposals()?;
        self.append_learner(now_ms, learner)?;
        Ok(self.tick(now_ms))
    }

    pub(crate) fn append_learner(
        &mut self,
        now_ms: u64,
        learner: Voter,
    ) -> Result<(), MembershipChangeError> {
        self.check_no_pending_change()?;
        let mut voters = self.log.voters().clone();
        if voters.voters.contains(&learner) || voters.learners.contains(&learner) {
            return Err(MembershipChangeError::AlreadyMember);
        }
        voters.learners.retain(|other| other.host != learner.host);
        voters.learners.push(learner);
        self.append_as_leader(now_ms, EntryBody::Voters(voters));
        Ok(())
    }

    /// Removes a voter or a learner from the group. It still receives the log for a few
    /// election timeouts, so that it learns when its removal is committed. Fails with
    /// [`MembershipChangeError::LastVoter`] if the replica is the only voter.
    pub fn remove_replica(
        &mut self,
        now_ms: u64,
        replica: &Voter,
    ) -> Result<Vec<Effect>, MembershipChangeError> {
        self.check_accepts_proposals()?;
        self.check_no_pending_change()?;
        let mut voters = self.log.voters().clone();
        if voters.voters == [replica.clone()] {
            return Err(MembershipChangeError::LastVoter);
        }
        if !voters.voters.contains(replica) && !voters.learners.contains(replica) {
            return Err(MembershipChangeError::NotMember);
        }
        voters.voters.retain(|other| other != replica);
        voters.learners.retain(|other| other != replica);
        let until_ms = now_ms + REMOVED_TIMEOUTS * self.settings.election_timeout_ms;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.removed = Some(RemovedReplica { replica: replica.clone(), until_ms });
        }
        self.append_as_leader(now_ms, EntryBody::Voters(voters));
        Ok(self.tick(now_ms))
    }

    /// Checks that the last membership change is committed, and also an entry of
    /// the current term: until then, an uncommitted change of an earlier leader
    /// may still become committed.
    fn check_no_pending_change(&self) -> Result<(), MembershipChangeError> {
        let Role::Leader(leadership) = &self.role else { return Ok(()) };
        let is_committed = self.commit_index >= self.log.voters_index()
            && self.commit_index >= leadership.first_index;
        if is_committed { Ok(()) } else { Err(MembershipChangeError::InProgress) }
    }

    /// Starts the next membership change for a learner that has caught up: the
    /// removal of the voter that it replaces, or its promotion.
    pub(crate) fn tick_learners(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.transfer_deadline_ms.is_some() || self.check_no_pending_change().is_err() {
            return;
        }
        let caught_up = |learner: &&Voter| {
            let progress = leadership.progress.get(&Self::key(learner));
            progress.is_some_and(|progress| {
                progress.matched && progress.match_index >= self.commit_index
            })
        };
        let voters = self.log.voters();
        if let Some(learner) = voters.learners.iter().find(caught_up) {
            let next = next_voters(voters, learner);
            self.append_as_leader(now_ms, EntryBody::Voters(next));
        }
    }

    /// Steps down once the removal of this replica from the voters is committed.
    /// It remains the leader until then, since it has to replicate that
    /// entry.
    pub(crate) fn step_down_if_removed(&mut self, now_ms: u64) {
        let is_committed = self.commit_index >= self.log.voters_index();
        if is_committed && matches!(self.role, Role::Leader(_)) && !self.is_voter(&self.identity) {
            self.become_follower(now_ms);
        }
    }

    /// Transfers leadership to a voter whose log is up to date. If no voter
    /// catches up within an election timeout, this replica steps down without a
    /// successor.
    pub fn transfer_leadership(&mut self, now_ms: u64) -> Vec<Effect> {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.transfer_deadline_ms = Some(now_ms + self.settings.election_timeout_ms);
        }
        self.tick(now_ms)
    }

    pub(crate) fn tick_transfer(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(deadline_ms) = leadership.transfer_deadline_ms else { return };
        let last_index = self.log.last_index();
        let target = self.other_voters().into_iter().find(|voter| {
            let progress = leadership.progress.get(&Self::key(voter));
            progress.is_some_and(|progress| progress.match_index == last_index)
        });
        let is_committed = self.commit_index == last_index;
        if let Some(target) = target
            && is_committed
        {
            let term = self.vote.term;
            // The target may win an election at any time from here on, so the
            // lease must not be used any more.
            self.become_follower(now_ms);
            self.send(&target, ConsensusMessage::TimeoutNow { term });
        } else if now_ms >= deadline_ms {
            self.become_follower(now_ms);
        }
    }
}

/// Returns the voters after the next step: without the voter that the learner
/// replaces if it is still there, or else with the learner as a voter.
fn next_voters(voters: &VoterSet, learner: &Voter) -> VoterSet {
    let mut next = voters.clone();
    if voters.voters.iter().any(|voter| voter.host == learner.host) && voters.voters.len() > 1 {
        next.voters.retain(|voter| voter.host != learner.host);
    } else {
        next.learners.retain(|other| other != learner);
        next.voters.push(learner.clone());
        next.voters.sort_by(|left, right| left.host.cmp(&right.host));
    }
    next
}
