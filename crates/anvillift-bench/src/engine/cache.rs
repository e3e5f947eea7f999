//! A prefix cache of limited memory.
//!
//! Blocks are known by the hash of the whole prefix that ends with them. The
//! block used least recently is evicted first. Every change is kept as an
//! event until it is taken for an announcement.

use std::collections::BTreeMap;

use anvillift_routing::prefix::{BLOCK_BYTES, BYTES_PER_TOKEN};

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = BLOCK_BYTES as u64 / BYTES_PER_TOKEN;

/// A change of the cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheChange {
    /// Number of the change.
    pub sequence: u64,
    /// Blocks stored.
    pub stored: Vec<u64>,
    /// Blocks evicted.
    pub evicted: Vec<u64>,
}

/// A prefix cache.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity_blocks: usize,
    used_at: BTreeMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
    uses: u64,
    changes: Vec<CacheChange>,
    sequence: u64,
}

impl PrefixCache {
    /// An empty cache for `capacity_blocks` blocks.
    pub fn new(capacity_blocks: usize) -> Self {
        Self { capacity_blocks, ..Self::default() }
    }

    /// Length of the longest cached prefix, in blocks; marks it as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let hit = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // The end of a prefix is touched first, so that it is evicted first.
        for block in blocks[..hit].iter().rev() {
            self.touch(*block);
        }
        hit
    }

    /// Stores the blocks of a computed prompt.
    pub fn store(&mut self, blocks: &[u64]) {
        let kept = &blocks[..blocks.len().min(self.capacity_blocks)];
        let mut stored = Vec::new();
        for block in kept.iter().rev() {
            if !self.used_at.contains_key(block) {
                stored.push(*block);
            }
            self.touch(*block);
        }
        let evicted = self.evict();
        if !stored.is_empty() || !evicted.is_empty() {
            self.sequence += 1;
            self.changes.push(CacheChange { sequence: self.sequence, stored, evicted });
        }
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        if let Some(before) = self.used_at.insert(block, self.uses) {
            self.by_age.remove(&before);
        }
        self.by_age.insert(self.uses, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.used_at.len() > self.capacity_blocks
            && let Some((_, block)) = self.by_age.pop_first()
        {
            self.used_at.remove(&block);
            evicted.push(block);
        }
        evicted
    }
}
