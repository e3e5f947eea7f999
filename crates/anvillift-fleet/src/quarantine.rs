//! Parts of prompts that crash workers.
//!
//! A prompt that contains all parts of an entry is refused, whatever else it holds. An
//! entry has several parts where the crashes could not tell them apart. Entries end by
//! themselves, since a part may stop to crash workers, for example with their next
//! software version.

use std::collections::{BTreeMap, BTreeSet};

use crate::prompt::Prompt;

/// Time for which parts are quarantined, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Most entries; the one that ends first is dropped first.
const MAX_ENTRIES: usize = 256;

/// The quarantined parts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Time at which each entry ends, by its parts.
    until_ms: BTreeMap<BTreeSet<u64>, u64>,
}

impl Quarantine {
    /// Quarantines parts for a time. Returns whether they were not quarantined before.
    pub fn add(&mut self, now_ms: u64, parts: BTreeSet<u64>, remaining_ms: u64) -> bool {
        if parts.is_empty() || remaining_ms == 0 {
            return false;
        }
        let until_ms = now_ms + remaining_ms.min(QUARANTINE_MS);
        let previous_ms = self.until_ms.insert(parts.clone(), until_ms);
        if let Some(previous_ms) = previous_ms {
            self.until_ms.insert(parts, until_ms.max(previous_ms));
        }
        if self.until_ms.len() > MAX_ENTRIES {
            self.remove_first_to_end();
        }
        previous_ms.is_none()
    }

    /// Remaining time of the quarantine of a prompt, in milliseconds; `None` if the prompt
    /// may be sent.
    pub fn remaining_ms(&self, now_ms: u64, prompt: &Prompt) -> Option<u64> {
        if self.until_ms.is_empty() || prompt.shared_parts.is_empty() {
            return None;
        }
        let parts: BTreeSet<u64> = prompt.shared_parts.iter().map(|part| part.id).collect();
        let matching = self.until_ms.iter().filter(|(entry, _)| entry.is_subset(&parts));
        let until_ms = matching.map(|(_, until_ms)| *until_ms).max()?;
        until_ms.checked_sub(now_ms).filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Whether the parts contain those of an entry, so that it explains a crash.
    pub fn explains(&self, parts: &BTreeSet<u64>) -> bool {
        self.until_ms.keys().any(|entry| entry.is_subset(parts))
    }

    /// The entries, each with its remaining time in milliseconds.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&BTreeSet<u64>, u64)> {
        self.until_ms.iter().map(move |(parts, until_ms)| (parts, until_ms.saturating_sub(now_ms)))
    }

    /// Removes the entries that have ended.
    pub fn remove_ended(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn remove_first_to_end(&mut self) {
        let first = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(parts) = first.map(|(parts, _)| parts.clone()) {
            self.until_ms.remove(&parts);
        }
    }
}
