//! Prefix cache with a limited number of blocks and LRU eviction.
//!
//! A block is identified by the hash of the complete prefix that ends with it.
//! Every change is stored until [`PrefixCache::take_changes`] returns it for the
//! announcements.

use std::collections::BTreeMap;

use anvillift_routing::prefix::{BLOCK_BYTES, BYTES_PER_TOKEN};

/// Length of a block in tokens.
pub const BLOCK_TOKENS: u64 = BLOCK_BYTES as u64 / BYTES_PER_TOKEN;

/// Blocks that one prompt added to the cache and evicted from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheChange {
    /// Number of the change, from 1; gaps reveal lost events.
    pub sequence: u64,
    /// Hashes of the blocks added.
    pub stored: Vec<u64>,
    /// Hashes of the blocks removed to stay within the capacity.
    pub evicted: Vec<u64>,
}

/// Set of cached prefix blocks, ordered by last use.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity_blocks: usize,
    last_use_by_block: BTreeMap<u64, u64>,
    block_by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    changes: Vec<CacheChange>,
    sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity_blocks` blocks.
    pub fn new(capacity_blocks: usize) -> Self {
        Self { capacity_blocks, ..Self::default() }
    }

    /// Returns the length of the longest cached prefix in blocks and marks its
    /// blocks as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let hit =
            blocks.iter().take_while(|block| self.last_use_by_block.contains_key(block)).count();
        // A block can be reused only together with the blocks before it, so the last
        // blocks of a prefix are marked as used earliest and evicted first.
        for block in blocks[..hit].iter().rev() {
            self.mark_used(*block);
        }
        hit
    }

    /// Adds the blocks of a computed prompt, up to the capacity, and evicts the
    /// least recently used blocks.
    pub fn store(&mut self, blocks: &[u64]) {
        let cacheable = &blocks[..blocks.len().min(self.capacity_blocks)];
        let mut stored = Vec::new();
        for block in cacheable.iter().rev() {
            if !self.last_use_by_block.contains_key(block) {
                stored.push(*block);
            }
            self.mark_used(*block);
        }
        let evicted = self.evict();
        if !stored.is_empty() || !evicted.is_empty() {
            self.sequence += 1;
            self.changes.push(CacheChange { sequence: self.sequence, stored, evicted });
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use_by_block.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use_by_block.is_empty()
    }

    fn mark_used(&mut self, block: u64) {
        self.use_count += 1;
        if let Some(previous_use) = self.last_use_by_block.insert(block, self.use_count) {
            self.block_by_last_use.remove(&previous_use);
        }
        self.block_by_last_use.insert(self.use_count, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.last_use_by_block.len() > self.capacity_blocks
            && let Some((_, block)) = self.block_by_last_use.pop_first()
        {
            self.last_use_by_block.remove(&block);
            evicted.push(block);
        }
        evicted
    }
}
