//! Proposals and reads that wait for their answer.

use std::collections::BTreeMap;

use anvillift_consensus::AnswerError;

use crate::error::ProposeError;
use crate::input::{ProposeReply, ReadReply};

/// Channel on which a pending request is answered.
pub(crate) enum PendingRequest {
    Propose(ProposeReply),
    Read(ReadReply),
}

/// Pending requests by id.
#[derive(Default)]
pub(crate) struct Requests {
    pending: BTreeMap<u64, PendingRequest>,
    next_id: u64,
}

impl Requests {
    /// Stores a request and returns its new id.
    pub(crate) fn add(&mut self, request: PendingRequest) -> u64 {
        self.next_id += 1;
        self.pending.insert(self.next_id, request);
        self.next_id
    }

    /// Number of pending requests.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Answers a request. For a proposal, `answer` returns the output of the
    /// applied command.
    pub(crate) fn answer(
        &mut self,
        id: u64,
        result: Result<u64, AnswerError>,
        answer: impl FnOnce() -> Vec<u8>,
    ) {
        let result = result.map_err(|AnswerError::Unknown| ProposeError::Unknown);
        // If the receiver was dropped, nobody waits for the answer, so a failed
        // send is ignored.
        match self.pending.remove(&id) {
            Some(PendingRequest::Propose(reply)) => {
                reply.send(result.map(|_| answer())).ok().unwrap_or(())
            }
            Some(PendingRequest::Read(reply)) => reply.send(result).ok().unwrap_or(()),
            None => (),
        }
    }

    /// Ends a request with an error.
    pub(crate) fn reject(&mut self, id: u64, error: &ProposeError) {
        match self.pending.remove(&id) {
            Some(PendingRequest::Propose(reply)) => {
                reply.send(Err(error.clone())).ok().unwrap_or(())
            }
            Some(PendingRequest::Read(reply)) => reply.send(Err(error.clone())).ok().unwrap_or(()),
            None => (),
        }
    }

    /// Ends all pending requests with an unknown outcome.
    pub(crate) fn fail_all(&mut self) {
        for id in self.pending.keys().copied().collect::<Vec<_>>() {
            self.reject(id, &ProposeError::Unknown);
        }
    }
}
