//! Whole answers of commands, kept beside the log.
//!
//! Only hosts in the places of the profile are sent an answer. The log names it
//! by hash, so that a replayed answer is known to be the one that was given.
//! Bounded by bytes and time; what has gone is answered as ran, without body.

use std::collections::BTreeMap;

use anvillift_schema::ledger::CommandOutcome;

use crate::key;

/// Settings of [`Answers`].
#[derive(Clone, Debug)]
pub struct AnswersSettings {
    /// Bytes kept at most.
    pub max_bytes: u64,
    /// Largest answer kept, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for AnswersSettings {
    fn default() -> Self {
        Self { max_bytes: 8 * 1024 * 1024, max_answer_bytes: 256 * 1024 }
    }
}

#[derive(Clone, Debug)]
struct Kept {
    outcome: CommandOutcome,
    until_ms: u64,
}

/// Answers kept by one host, by key hash.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    settings: AnswersSettings,
    kept: BTreeMap<String, Kept>,
    bytes: u64,
}

impl Answers {
    /// An empty store.
    pub fn new(settings: AnswersSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Keeps an answer until `until_ms`; false if it is too large.
    pub fn store(
        &mut self,
        now_ms: u64,
        key_hash: String,
        outcome: CommandOutcome,
        until_ms: u64,
    ) -> bool {
        let size_bytes = size_bytes(&key_hash, &outcome);
        if size_bytes > self.settings.max_answer_bytes.min(self.settings.max_bytes) {
            return false;
        }
        self.remove(&key_hash);
        self.drop_expired(now_ms);
        while self.bytes + size_bytes > self.settings.max_bytes {
            let soonest = self.kept.iter().min_by_key(|(_, kept)| kept.until_ms);
            let Some(soonest) = soonest.map(|(key_hash, _)| key_hash.clone()) else { break };
            self.remove(&soonest);
        }
        self.bytes += size_bytes;
        self.kept.insert(key_hash, Kept { outcome, until_ms });
        true
    }

    /// The answer with a hash, if it is kept.
    pub fn fetch(&self, now_ms: u64, key_hash: &str, answer_hash: &str) -> Option<CommandOutcome> {
        let kept = self.kept.get(key_hash).filter(|kept| kept.until_ms > now_ms)?;
        (key::answer_hash(&kept.outcome) == answer_hash).then(|| kept.outcome.clone())
    }

    /// Bytes kept.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self.kept.iter().filter(|(_, kept)| kept.until_ms <= now_ms);
        let expired: Vec<String> = expired.map(|(key_hash, _)| key_hash.clone()).collect();
        for key_hash in expired {
            self.remove(&key_hash);
        }
    }

    fn remove(&mut self, key_hash: &str) {
        if let Some(kept) = self.kept.remove(key_hash) {
            self.bytes -= size_bytes(key_hash, &kept.outcome);
        }
    }
}

fn size_bytes(key_hash: &str, outcome: &CommandOutcome) -> u64 {
    (key_hash.len() + outcome.content_type.len() + outcome.body.len()) as u64
}
