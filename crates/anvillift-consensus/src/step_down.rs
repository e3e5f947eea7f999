//! The end of a candidacy or leadership.

use std::mem;

use anvillift_schema::consensus::Vote;

use crate::effect::{AnswerError, Effect};
use crate::replica::Replica;
use crate::role::{Leadership, Role};

impl Replica {
    /// Enters a newer term, in which this replica has not voted yet.
    pub(crate) fn enter_term(&mut self, now_ms: u64, term: u64) {
        self.become_follower(now_ms);
        self.leader = None;
        self.vote = Vote { term, voted_for: None };
        self.emit(Effect::SaveVote { vote: self.vote.clone() });
    }

    /// Ends any candidacy or leadership. Requests that the leader accepted and
    /// that are still open are answered with an error.
    pub(crate) fn become_follower(&mut self, now_ms: u64) {
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = role {
            self.leader = None;
            self.fail_requests(leadership);
            self.reset_election_timer(now_ms);
        }
    }

    fn fail_requests(&mut self, leadership: Leadership) {
        let reads = leadership.reads.into_iter().map(|read| read.request_id);
        for request_id in leadership.proposals.into_values().chain(reads) {
            self.emit(Effect::Answer { request_id, result: Err(AnswerError::Unknown) });
        }
    }
}
