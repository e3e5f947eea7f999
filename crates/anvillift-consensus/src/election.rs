//! Elections: pre-votes, votes and the hand-over of leadership.

use std::collections::BTreeSet;

use anvillift_schema::consensus::{ConsensusMessage, Vote, Voter};
use rand::Rng;

use crate::effect::Effect;
use crate::quorum;
use crate::replica::Replica;
use crate::role::{Candidacy, Role};

/// Part of a step that is drawn by lot.
const STEP_SPREAD: u64 = 4;
/// Between trials of a replica that has just started, in milliseconds.
const START_TRIAL_MS: u64 = 60;

impl Replica {
    pub(crate) fn reset_election_due(&mut self, now_ms: u64) {
        let (timeout_ms, step_ms) =
            (self.settings.election_timeout_ms, self.settings.election_step_ms);
        let further_ms = match self.rank() {
            Some(rank) if step_ms > 0 => {
                rank as u64 * step_ms + self.rng.random_range(0..=step_ms / STEP_SPREAD)
            }
            _ => self.rng.random_range(0..timeout_ms),
        };
        self.election_due_ms = now_ms + timeout_ms + further_ms;
    }

    /// Place among the voters, which all replicas see alike.
    fn rank(&self) -> Option<usize> {
        self.log.voters().voters.iter().position(|voter| *voter == self.identity)
    }

    /// Gives each voter a turn of an election timeout, the first one at once:
    /// where all have lost power together nobody else leads.
    pub(crate) fn begin_first_turn(&mut self, now_ms: u64) {
        let turn_ms = self.settings.election_timeout_ms;
        self.election_due_ms = now_ms + self.rank().unwrap_or(0) as u64 * turn_ms;
        self.starting_until_ms = self.election_due_ms + turn_ms;
    }

    /// Stands sooner, since the voter whose turn it is lacks entries.
    fn hasten_first_turn(&mut self, now_ms: u64) {
        if self.heard_ms.is_some() || now_ms >= self.starting_until_ms {
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
        self.reset_election_due(now_ms);
        if self.heard_ms.is_none() && now_ms < self.starting_until_ms {
            self.election_due_ms = now_ms + START_TRIAL_MS;
        }
        if self.may_stand() {
            self.stand(now_ms, true, false);
        }
    }

    /// Whether this replica, with this storage, is a voter with a whole log.
    fn may_stand(&self) -> bool {
        self.refetch_upto.is_none() && self.is_voter(&self.identity)
    }

    /// Stands for election, on trial when `pre_vote`.
    fn stand(&mut self, now_ms: u64, pre_vote: bool, transfer: bool) {
        let term = self.vote.term + 1;
        if !pre_vote {
            self.vote = Vote { term, voted_for: Some(self.identity.clone()) };
            self.emit(Effect::SaveVote { vote: self.vote.clone() });
            self.reset_election_due(now_ms);
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
        let refused_for_leader = !transfer && self.hears_leader(now_ms);
        if !pre_vote && !refused_for_leader && term > self.vote.term {
            self.enter_term(now_ms, term);
        }
        let covered = self.log.is_covered_by(last_term, last_index);
        if pre_vote && !covered {
            self.hasten_first_turn(now_ms);
        }
        let granted = !refused_for_leader
            && self.refetch_upto.is_none()
            && covered
            && if pre_vote { term > self.vote.term } else { self.vote_is_free(term, from) };
        if granted && !pre_vote {
            self.vote = Vote { term, voted_for: Some(from.clone()) };
            self.emit(Effect::SaveVote { vote: self.vote.clone() });
            self.reset_election_due(now_ms);
        }
        let term = if granted { term } else { self.vote.term };
        self.send(from, ConsensusMessage::VoteResponse { term, pre_vote, granted });
    }

    /// Whether a leader was heard so lately that its lease may still hold. A
    /// replica that has just started cannot know, and waits as long.
    fn hears_leader(&self, now_ms: u64) -> bool {
        matches!(self.role, Role::Leader(_))
            || self
                .heard_ms
                .is_some_and(|heard_ms| now_ms < heard_ms + self.settings.election_timeout_ms)
    }

    fn vote_is_free(&self, term: u64, candidate: &Voter) -> bool {
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
            self.stand(now_ms, false, false);
        } else {
            self.become_leader(now_ms);
        }
    }

    /// Stands at once, since the leader of the term has given up its lease.
    pub(crate) fn on_timeout_now(&mut self, now_ms: u64, term: u64) {
        if term == self.vote.term && matches!(self.role, Role::Follower) && self.may_stand() {
            self.reset_election_due(now_ms);
            self.stand(now_ms, false, true);
        }
    }
}
