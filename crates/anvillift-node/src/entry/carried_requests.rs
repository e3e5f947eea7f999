//! The requests that a connection has carried.
//!
//! A worker may send a copy of an answer late, after the connection has been reused. The
//! copy is recognised by its request id, unless the next request has the same one: a
//! repetition, or a stream that is taken up again. Such a request gets another connection.
//!
//! An answer to HEAD states the length of a body that doesn't follow. A connection carries either
//! HEAD requests or others, so that the end of a late copy is found whichever request it answers.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most requests that are remembered for each connection.
const MAX_REMEMBERED: usize = 32;

/// Hashes of the ids of the last requests on a connection.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    hashes: VecDeque<u64>,
    /// Whether the connection carries HEAD requests; `None` before the first request.
    is_head: Option<bool>,
}

impl CarriedRequests {
    /// Whether the connection may carry a request with this id and method.
    pub(super) fn accepts(&self, id: &str, method: &str) -> bool {
        let is_same_kind = self.is_head.is_none_or(|is_head| is_head == (method == "HEAD"));
        is_same_kind && !self.hashes.contains(&hash_of(id))
    }

    /// Whether the connection has carried more than the request that it carries now.
    pub(super) fn has_earlier(&self) -> bool {
        self.hashes.len() > 1
    }

    pub(super) fn record(&mut self, id: &str, method: &str) {
        self.is_head = Some(method == "HEAD");
        if self.hashes.len() == MAX_REMEMBERED {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash_of(id));
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
