//! The parts of the prompts that this host has served.
//!
//! A complete answer shows that none of the parts crashes workers. Memory is bounded by
//! two generations: when the newer one is full it becomes the older one, and what was
//! there is forgotten.

use std::collections::BTreeMap;

use crate::prompt::Prompt;

/// Most parts in each of the two generations.
const MAX_PARTS: usize = 4_096;

/// The times at which prompts with each part were last served.
#[derive(Clone, Debug, Default)]
pub struct ServedParts {
    newer_ms: BTreeMap<u64, u64>,
    older_ms: BTreeMap<u64, u64>,
}

impl ServedParts {
    /// Records a complete answer to a prompt.
    pub fn record(&mut self, now_ms: u64, prompt: &Prompt) {
        for part in &prompt.shared_parts {
            self.newer_ms.insert(part.id, now_ms);
        }
        if self.newer_ms.len() >= MAX_PARTS {
            self.older_ms = std::mem::take(&mut self.newer_ms);
        }
    }

    /// Time at which a prompt with the part was last served; `None` if it never was, or
    /// so long ago that it is forgotten.
    pub fn last_served_ms(&self, part: u64) -> Option<u64> {
        self.newer_ms.get(&part).or_else(|| self.older_ms.get(&part)).copied()
    }

    /// Whether no prompt with a shared part was served.
    pub fn is_empty(&self) -> bool {
        self.newer_ms.is_empty() && self.older_ms.is_empty()
    }
}
