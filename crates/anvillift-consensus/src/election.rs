//! Elections: election timers, pre-votes, votes, and campaigns that a leadership
//! transfer starts.

use std::collections::BTreeSet;

use anvillift_schema::consensus::{ConsensusMessage, Vote, Voter};
use rand::Rng;

use crate::effect::Effect;
use crate::quorum;
use crate::replica::Replica;
use crate::role::{Candidacy, Role};

/// The random part of an election step is at most the step divided by this.
const STEP_JITTER_DIVISOR: u64 = 4;
/// Interval between pre-vote attempts of a replica that has just started, in
/// milliseconds.
const STARTUP_RETRY_MS: u64 = 60;

impl Replica {
    pub(crate) fn reset_election_timer(&mut self, now_ms: u64) {
        let (timeout_ms, step_ms) =
            (self.settings.election_timeout_ms, self.settings.election_step_ms);
        let delay_ms = match self.rank() {
            Some(rank) if step_ms > 0 => {
                rank as u64 * step_ms + self.rng.random_range(0..=step_ms / STEP_JITTER_DIVISOR)
            }
            _ => self.rng.random_range(0..timeout_ms),
        };
        self.election_due_ms = now_ms + timeout_ms + delay_ms;
    }

    /// Position of this replica in the ordered list of voters, which is the same
    /// on all replicas, or `None` if it is not a voter.
    fn rank(&self) -> Option<usize> {
        self.log.voters().voters.iter().position(|voter| *voter == self.identity)
    }

    /// Schedules the first election after a start. Each voter gets a slot of one
    /// election timeout in the order of its rank, and the first voter starts at
    /// once: after a power loss of the whole group there is no leader to wait
    /// for.
    pub(crate) fn schedule_startup_election(&mut self, now_ms: u64) {
        let slot_ms = self.settings.election_timeout_ms;
        self.election_due_ms = now_ms + self.rank().unwrap_or(0) as u64 * slot_ms;
        self.startup_until_ms = self.election_due_ms + slot_ms;
    }

    /// Starts the first election earlier, since the voter of the current slot
    /// lacks entries that this replica has and cannot win.
    fn advance_startup_election(&mut self, now_ms: u64) {
        if self.last_leader_contact_ms.is_some() || now_ms >= self.startup_until_ms {
            return;
        }
        let rank = self.rank().unwrap_or(0) as u64;
        let due_ms = now_ms + rank.saturating_sub(1) * self.settings.election_step_ms;
        self.election_due_ms = self.election_due_ms.min(due_ms);
    }

    pub(crate) fn tick_election(&mut self, now_ms: u64) {
        if now_ms < self.election_due_ms {
            return;
        }
        self.leader = None;
        self.reset_election_timer(now_ms);
        if self.last_leader_contact_ms.is_none() && now_ms < self.startup_until_ms {
            self.election_due_ms = now_ms + STARTUP_RETRY_MS;
        }
        if self.can_campaign() {
            self.start_campaign(now_ms, true, false);
        }
    }

    /// Whether this replica, with its current storage id, is a voter whose log is
    /// complete.
    fn can_campaign(&self) -> bool {
        self.refetch_upto.is_none() && self.is_voter(&self.identity)
    }

    /// Starts a campaign. A pre-vote only checks whether an election could be won,
    /// and does not change the term. With `transfer`, the voters may grant their
    /// votes despite a recent contact with the leader.
    fn start_campaign(&mut self, now_ms: u64, pre_vote: bool, transfer: bool) {
        let term = self.vote.term + 1;
        if !pre_vote {
            self.vote = Vote { term, voted_for: Some(self.identity.clone()) };
            self.emit(Effect::SaveVote { vote: self.vote.clone() });
            self.reset_election_timer(now_ms);
        }
        let votes = BTreeSet::from([Self::key(&self.identity)]);
        self.role = Role::Candidate(Candidacy { term, pre_vote, votes });
        let others = self.other_voters();
        for voter in &others {
            let message = ConsensusMessage::VoteRequest {
                term,
                pre_vote,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                transfer,
            };
            self.send(voter, message);
        }
        self.count_votes(now_ms);
    }

    pub(crate) fn other_voters(&self) -> Vec<Voter> {
        let voters = self.log.voters().voters.iter();
        voters.filter(|voter| **voter != self.identity).cloned().collect()
    }

    pub(crate) fn on_vote_request(
        &mut self,
        now_ms: u64,
        from: &Voter,
        message: &ConsensusMessage,
    ) {
        let &ConsensusMessage::VoteRequest { term, pre_vote, last_index, last_term, transfer } =
            message
        else {
            return;
        };
        let has_active_leader = !transfer && self.has_recent_leader(now_ms);
        if !pre_vote && !has_active_leader && term > self.vote.term {
            self.enter_term(now_ms, term);
        }
        let is_up_to_date = self.log.is_covered_by(last_term, last_index);
        if pre_vote && !is_up_to_date {
            self.advance_startup_election(now_ms);
        }
        let granted = !has_active_leader
            && self.refetch_upto.is_none()
            && is_up_to_date
            && if pre_vote { term > self.vote.term } else { self.can_vote_for(term, from) };
        if granted && !pre_vote {
            self.vote = Vote { term, voted_for: Some(from.clone()) };
            self.emit(Effect::SaveVote { vote: self.vote.clone() });
            self.reset_election_timer(now_ms);
        }
        let term = if granted { term } else { self.vote.term };
        self.send(from, ConsensusMessage::VoteResponse { term, pre_vote, granted });
    }

    /// Whether a leader made contact so recently that its lease may still hold.
    /// Contacts before a restart are not recorded, so with leases the restart
    /// itself counts as one.
    fn has_recent_leader(&self, now_ms: u64) -> bool {
        matches!(self.role, Role::Leader(_))
            || self
                .last_leader_contact_ms
                .is_some_and(|contact_ms| now_ms < contact_ms + self.settings.election_timeout_ms)
    }

    fn can_vote_for(&self, term: u64, candidate: &Voter) -> bool {
        let voted_for = self.vote.voted_for.as_ref();
        term == self.vote.term && voted_for.is_none_or(|voted_for| voted_for == candidate)
    }

    pub(crate) fn on_vote_response(
        &mut self,
        now_ms: u64,
        from: &Voter,
        term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        if !self.is_voter(from) {
            return;
        }
        if !granted {
            if term > self.vote.term {
                self.enter_term(now_ms, term);
            }
            return;
        }
        if let Role::Candidate(candidacy) = &mut self.role
            && candidacy.term == term
            && candidacy.pre_vote == pre_vote
        {
            candidacy.votes.insert(Self::key(from));
            self.count_votes(now_ms);
        }
    }

    fn count_votes(&mut self, now_ms: u64) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let voters = self.log.voters();
        let counted =
            voters.voters.iter().filter(|voter| candidacy.votes.contains(&Self::key(voter)));
        if counted.count() < quorum::majority(voters) {
            return;
        }
        if candidacy.pre_vote {
            self.start_campaign(now_ms, false, false);
        } else {
            self.become_leader(now_ms);
        }
    }

    /// Starts an election at once: the leader of the term is transferring its
    /// leadership and no longer uses its lease.
    pub(crate) fn on_timeout_now(&mut self, now_ms: u64, term: u64) {
        if term == self.vote.term && matches!(self.role, Role::Follower) && self.can_campaign() {
            self.reset_election_timer(now_ms);
            self.start_campaign(now_ms, false, true);
        }
    }
}
