//! Requests that wait for their answer.

use std::collections::BTreeMap;

use anvillift_consensus::AnswerError;

use crate::error::ProposeError;
use crate::input::{ProposeReply, ReadReply};

/// A request that waits.
pub(crate) enum Waiting {
    Propose(ProposeReply),
    Read(ReadReply),
}

/// Requests by id.
#[derive(Default)]
pub(crate) struct Requests {
    waiting: BTreeMap<u64, Waiting>,
    next_id: u64,
}

impl Requests {
    /// Keeps a request and gives its id.
    pub(crate) fn add(&mut self, waiting: Waiting) -> u64 {
        self.next_id += 1;
        self.waiting.insert(self.next_id, waiting);
        self.next_id
    }

    /// Number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Answers a request; `answer` is what its command gave.
    pub(crate) fn answer(
        &mut self,
        id: u64,
        result: Result<u64, AnswerError>,
        answer: impl FnOnce() -> Vec<u8>,
    ) {
        let result = result.map_err(|AnswerError::Unknown| ProposeError::Unknown);
        // A receiver that has gone away has lost interest.
        match self.waiting.remove(&id) {
            Some(Waiting::Propose(reply)) => {
                reply.send(result.map(|_| answer())).ok().unwrap_or(())
            }
            Some(Waiting::Read(reply)) => reply.send(result).ok().unwrap_or(()),
            None => (),
        }
    }

    /// Refuses a request that was not taken.
    pub(crate) fn refuse(&mut self, id: u64, error: &ProposeError) {
        match self.waiting.remove(&id) {
            Some(Waiting::Propose(reply)) => reply.send(Err(error.clone())).ok().unwrap_or(()),
            Some(Waiting::Read(reply)) => reply.send(Err(error.clone())).ok().unwrap_or(()),
            None => (),
        }
    }

    /// Ends all the requests, whose outcome is not known.
    pub(crate) fn end_all(&mut self) {
        for id in self.waiting.keys().copied().collect::<Vec<_>>() {
            self.refuse(id, &ProposeError::Unknown);
        }
    }
}
