//! Changes of the voters, one replica at a time, and the hand-over of leadership.
//!
//! A new replica is a learner first. Once it has caught up the leader makes it
//! a voter, after removing the voter of the same host whose place it takes; a
//! step is begun only when the one before it is committed.

use anvillift_schema::consensus::{ConsensusMessage, EntryBody, Voter, VoterSet};

use crate::effect::Effect;
use crate::replica::{ProposeError, Replica};
use crate::role::Role;

/// Why the voters were not changed.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ChangeError {
    /// Another replica leads.
    #[snafu(display("{source}"), context(false))]
    NotLeader {
        /// Who leads.
        source: ProposeError,
    },
    /// An earlier change is not committed yet.
    #[snafu(display("another change of the voters is under way"))]
    InProgress,
    /// The replica is already a member.
    #[snafu(display("the replica is already a member of the group"))]
    AlreadyMember,
    /// The replica is no member.
    #[snafu(display("the replica is no member of the group"))]
    NotMember,
    /// The last voter cannot be removed.
    #[snafu(display("the last voter cannot be removed"))]
    LastVoter,
}

impl Replica {
    /// Adds a replica that receives entries, and becomes a voter once it has
    /// caught up, in the place of a voter of the same host if there is one.
    pub fn add_learner(&mut self, now_ms: u64, learner: Voter) -> Result<Vec<Effect>, ChangeError> {
        self.check_takes_proposals()?;
        self.append_learner(now_ms, learner)?;
        Ok(self.tick(now_ms))
    }

    pub(crate) fn append_learner(
        &mut self,
        now_ms: u64,
        learner: Voter,
    ) -> Result<(), ChangeError> {
        self.check_settled()?;
        let mut voters = self.log.voters().clone();
        if voters.voters.contains(&learner) || voters.learners.contains(&learner) {
            return Err(ChangeError::AlreadyMember);
        }
        voters.learners.retain(|other| other.host != learner.host);
        voters.learners.push(learner);
        self.append_as_leader(now_ms, EntryBody::Voters(voters));
        Ok(())
    }

    /// Removes a voter or learner.
    pub fn remove_replica(
        &mut self,
        now_ms: u64,
        replica: &Voter,
    ) -> Result<Vec<Effect>, ChangeError> {
        self.check_takes_proposals()?;
        self.check_settled()?;
        let mut voters = self.log.voters().clone();
        if voters.voters == [replica.clone()] {
            return Err(ChangeError::LastVoter);
        }
        if !voters.voters.contains(replica) && !voters.learners.contains(replica) {
            return Err(ChangeError::NotMember);
        }
        voters.voters.retain(|other| other != replica);
        voters.learners.retain(|other| other != replica);
        self.append_as_leader(now_ms, EntryBody::Voters(voters));
        Ok(self.tick(now_ms))
    }

    /// One change at a time, and none before an entry of the own term is
    /// committed: an unfinished change of an earlier leader may still win.
    fn check_settled(&self) -> Result<(), ChangeError> {
        let Role::Leader(leadership) = &self.role else { return Ok(()) };
        let settled = self.commit_index >= self.log.voters_index()
            && self.commit_index >= leadership.first_index;
        if settled { Ok(()) } else { Err(ChangeError::InProgress) }
    }

    /// Takes the next step for a learner that has caught up.
    pub(crate) fn tick_learners(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.transfer_until_ms.is_some() || self.check_settled().is_err() {
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
            let next = next_step(voters, learner);
            self.append_as_leader(now_ms, EntryBody::Voters(next));
        }
    }

    /// A leader that is no longer a voter leads until that is committed.
    pub(crate) fn leave_if_removed(&mut self, now_ms: u64) {
        let settled = self.commit_index >= self.log.voters_index();
        if settled && matches!(self.role, Role::Leader(_)) && !self.is_voter(&self.identity) {
            self.become_follower(now_ms);
        }
    }

    /// Hands leadership to the voter that is furthest, or gives it up when
    /// none catches up within an election timeout.
    pub fn transfer_leadership(&mut self, now_ms: u64) -> Vec<Effect> {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.transfer_until_ms = Some(now_ms + self.settings.election_timeout_ms);
        }
        self.tick(now_ms)
    }

    pub(crate) fn tick_transfer(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(until_ms) = leadership.transfer_until_ms else { return };
        let last_index = self.log.last_index();
        let target = self.other_voters().into_iter().find(|voter| {
            let progress = leadership.progress.get(&Self::key(voter));
            progress.is_some_and(|progress| progress.match_index == last_index)
        });
        let settled = self.commit_index == last_index;
        if let Some(target) = target
            && settled
        {
            let term = self.vote.term;
            // The receiver may win at any time from here on, so the lease ends.
            self.become_follower(now_ms);
            self.send(&target, ConsensusMessage::TimeoutNow { term });
        } else if now_ms >= until_ms {
            self.become_follower(now_ms);
        }
    }
}

/// Removes the voter whose place the learner takes, or else promotes it.
fn next_step(voters: &VoterSet, learner: &Voter) -> VoterSet {
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
