//! Complete answers of commands, stored outside the log.
//!
//! Only hosts in the places of the profile receive an answer. The log refers to
//! an answer by hash, which verifies that a replayed answer equals the first one.
//! The store is limited in bytes and time. If an answer was evicted, a repeated
//! request is answered only with the fact that the command ran, without its body.

use std::collections::BTreeMap;

use anvillift_schema::ledger::CommandOutcome;

use crate::key;

/// Size limits of [`AnswerStore`].
#[derive(Clone, Debug)]
pub struct AnswerStoreSettings {
    /// Maximum size of all stored answers together, in bytes.
    pub max_bytes: u64,
    /// Maximum size of a single stored answer, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for AnswerStoreSettings {
    fn default() -> Self {
        Self { max_bytes: 8 * 1024 * 1024, max_answer_bytes: 256 * 1024 }
    }
}

#[derive(Clone, Debug)]
struct StoredAnswer {
    outcome: CommandOutcome,
    until_ms: u64,
}

/// Answers stored on one host, by key hash.
#[derive(Clone, Debug, Default)]
pub struct AnswerStore {
    settings: AnswerStoreSettings,
    stored: BTreeMap<String, StoredAnswer>,
    bytes: u64,
}

impl AnswerStore {
    /// Creates an empty store with the given limits.
    pub fn new(settings: AnswerStoreSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Stores an answer until `until_ms`, and evicts those that expire first to
    /// make space. Returns false if the answer is too large.
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
        self.evict_expired(now_ms);
        while self.bytes + size_bytes > self.settings.max_bytes {
            let victim = self.stored.iter().min_by_key(|(_, stored)| stored.until_ms);
            let Some(victim) = victim.map(|(key_hash, _)| key_hash.clone()) else { break };
            self.remove(&victim);
        }
        self.bytes += size_bytes;
        self.stored.insert(key_hash, StoredAnswer { outcome, until_ms });
        true
    }

    /// Returns the answer of a key, or `None` if it is not stored, has expired,
    /// or has another hash.
    pub fn fetch(&self, now_ms: u64, key_hash: &str, answer_hash: &str) -> Option<CommandOutcome> {
        let stored = self.stored.get(key_hash).filter(|stored| stored.until_ms > now_ms)?;
        (key::answer_hash(&stored.outcome) == answer_hash).then(|| stored.outcome.clone())
    }

    /// Size of all stored answers and their keys, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let expired = self.stored.iter().filter(|(_, stored)| stored.until_ms <= now_ms);
        let expired: Vec<String> = expired.map(|(key_hash, _)| key_hash.clone()).collect();
        for key_hash in expired {
            self.remove(&key_hash);
        }
    }

    fn remove(&mut self, key_hash: &str) {
        if let Some(stored) = self.stored.remove(key_hash) {
            self.bytes -= size_bytes(key_hash, &stored.outcome);
        }
    }
}

fn size_bytes(key_hash: &str, outcome: &CommandOutcome) -> u64 {
    (key_hash.len() + outcome.content_type.len() + outcome.body.len()) as u64
}
