//! A host's contact to the owner of the quotas: whom it asks, and whether answers arrive.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Time without an answer after which the owner counts as lost, in milliseconds. An exchange
/// between regions takes 110 ms.
const OWNER_LOST_MS: u64 = 400;
/// Longest time for which a request waits for an answer, in milliseconds.
pub const GRANT_WAIT_MS: u64 = 250;
/// Time for which an answer to a question is accepted, in milliseconds. Its grants have expired
/// then.
const ASKED_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Asked {
    at_ms: u64,
    is_answered: bool,
}

/// The owner, the highest term and the questions that may still be answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerContact {
    pub(crate) owner: Option<Name>,
    /// Highest term seen.
    pub(crate) term: u64,
    last_sequence: u64,
    asked: BTreeMap<u64, Asked>,
    /// Time of the first question since the last answer, in milliseconds.
    pub(crate) silent_since_ms: Option<u64>,
}

impl OwnerContact {
    /// Number of the next question.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.last_sequence + 1
    }

    /// Records that the next question is sent.
    pub(crate) fn ask(&mut self, now_ms: u64) {
        self.asked.retain(|_, asked| asked.at_ms + ASKED_MS >= now_ms);
        self.last_sequence += 1;
        self.asked.insert(self.last_sequence, Asked { at_ms: now_ms, is_answered: false });
        self.silent_since_ms.get_or_insert(now_ms);
    }

    /// Records an answer. Returns when its question was asked, or `None` if the answer is not
    /// valid: its term is not the highest one seen, or its question is old or answered.
    pub(crate) fn answer(&mut self, from: &Name, sequence: u64, term: u64) -> Option<u64> {
        let is_higher = term > self.term;
        let asked = self.asked.get_mut(&sequence)?;
        if term < self.term || (asked.is_answered && !is_higher) {
            return None;
        }
        asked.is_answered = true;
        let asked_ms = asked.at_ms;
        self.term = term;
        self.owner = Some(from.clone());
        let later = self.asked.range(sequence + 1..);
        self.silent_since_ms =
            later.map(|(_, asked)| asked).find(|asked| !asked.is_answered).map(|asked| asked.at_ms);
        Some(asked_ms)
    }

    /// Gives the owner up if answers are missing. Returns for how long, in milliseconds.
    pub(crate) fn lose_silent_owner(&mut self, now_ms: u64) -> Option<u64> {
        let silent_ms = now_ms.saturating_sub(self.silent_since_ms?);
        let is_lost = silent_ms >= OWNER_LOST_MS && self.owner.is_some();
        is_lost.then(|| {
            self.owner = None;
            silent_ms
        })
    }

    /// Start of the present time without answers, if it is so long that requests don't wait
    /// for one, in milliseconds.
    pub(crate) fn alone_since_ms(&self, now_ms: u64) -> Option<u64> {
        self.silent_since_ms.filter(|since_ms| since_ms + GRANT_WAIT_MS <= now_ms)
    }
}
