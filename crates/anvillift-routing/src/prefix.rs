//! Which upstream holds which prompt prefixes.
//!
//! Engines keep a cache of prompt prefixes and tell of it late and with gaps.
//! [`PrefixIndex`] therefore starts from the requests that were sent, and
//! corrects itself by cache events: a stored event confirms, an evicted event
//! removes, and a gap in the sequence drops what was not confirmed lately.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 1024;

/// Bytes of prompt that make one token, on average.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Blocks looked up for one request; longer prompts are sampled evenly.
const MAX_LOOKUPS: usize = 24;

/// Holders reported for one request.
const MAX_HOLDERS: usize = 8;

/// Hashes of the whole prefix blocks of a prompt, shortest prefix first.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            hasher.update(block);
            let mut head = [0; 8];
            head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_be_bytes(head)
        })
        .collect()
}

/// Tokens of a prompt prefix that a holder has cached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPrefix {
    /// Upstream or data centre that holds it.
    pub holder: Name,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// Settings of a [`PrefixIndex`].
#[derive(Clone, Debug)]
pub struct PrefixIndexSettings {
    /// Pairs of block and holder kept; the least recently used go first.
    pub max_entries: usize,
    /// After a gap in the events, entries unused for this long are dropped, in milliseconds.
    pub gap_retention_ms: u64,
}

impl Default for PrefixIndexSettings {
    fn default() -> Self {
        Self { max_entries: 100_000, gap_retention_ms: 30_000 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Use {
    order: u64,
    used_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventCursor {
    incarnation: u64,
    sequence: u64,
}

/// Prefix blocks and who holds them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    holders: BTreeMap<u64, BTreeMap<Name, Use>>,
    blocks: BTreeMap<Name, BTreeSet<u64>>,
    by_use: BTreeMap<u64, (u64, Name)>,
    cursors: BTreeMap<Name, EventCursor>,
    next_order: u64,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Pairs of block and holder known.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Records that a holder was sent a prompt with these blocks.
    pub fn sent(&mut self, now_ms: u64, holder: &Name, blocks: &[u64]) {
        for block in blocks {
            self.touch(now_ms, *block, holder);
        }
        self.trim();
    }

    /// Corrects what is known of an upstream by its cache events.
    pub fn correct(&mut self, now_ms: u64, holder: &Name, incarnation: u64, events: &[CacheEvent]) {
        let known = self.cursors.get(holder).copied().unwrap_or_default();
        if known.incarnation > incarnation {
            return;
        }
        if known.incarnation < incarnation {
            self.forget(holder);
            self.cursors.insert(holder.clone(), EventCursor { incarnation, sequence: 0 });
        }
        for event in events {
            self.correct_one(now_ms, holder, event);
        }
        self.trim();
    }

    /// Drops all that is known of a holder.
    pub fn forget(&mut self, holder: &Name) {
        for block in self.blocks.remove(holder).unwrap_or_default() {
            self.remove(block, holder);
        }
        self.cursors.remove(holder);
    }

    /// Who holds the longest parts of a prompt, longest first.
    pub fn lookup(&self, blocks: &[u64]) -> Vec<CachedPrefix> {
        let step = blocks.len().div_ceil(MAX_LOOKUPS).max(1);
        let mut found: Vec<CachedPrefix> = Vec::new();
        for depth in (1..=blocks.len()).rev().step_by(step) {
            let Some(holders) = self.holders.get(&blocks[depth - 1]) else { continue };
            for holder in holders.keys() {
                if found.iter().any(|cached| cached.holder == *holder) {
                    continue;
                }
                found.push(CachedPrefix { holder: holder.clone(), tokens: tokens_of(depth) });
                if found.len() == MAX_HOLDERS {
                    return found;
                }
            }
        }
        found
    }

    fn correct_one(&mut self, now_ms: u64, holder: &Name, event: &CacheEvent) {
        let Some(cursor) = self.cursors.get_mut(holder) else { return };
        if event.sequence <= cursor.sequence {
            return;
        }
        let gap = cursor.sequence != 0 && event.sequence > cursor.sequence + 1;
        cursor.sequence = event.sequence;
        if gap {
            self.drop_unused(now_ms, holder);
        }
        for block in event.stored.iter().filter_map(|text| parse_block(text)) {
            self.touch(now_ms, block, holder);
        }
        for block in event.evicted.iter().filter_map(|text| parse_block(text)) {
            self.remove(block, holder);
        }
    }

    fn drop_unused(&mut self, now_ms: u64, holder: &Name) {
        let oldest_ms = now_ms.saturating_sub(self.settings.gap_retention_ms);
        let known = self.blocks.get(holder).cloned().unwrap_or_default();
        for block in known {
            let used = self.holders.get(&block).and_then(|holders| holders.get(holder));
            if used.is_some_and(|used| used.used_ms < oldest_ms) {
                self.remove(block, holder);
            }
        }
    }

    fn touch(&mut self, now_ms: u64, block: u64, holder: &Name) {
        self.next_order += 1;
        let order = self.next_order;
        let holders = self.holders.entry(block).or_default();
        if let Some(before) = holders.insert(holder.clone(), Use { order, used_ms: now_ms }) {
            self.by_use.remove(&before.order);
        }
        self.by_use.insert(order, (block, holder.clone()));
        self.blocks.entry(holder.clone()).or_default().insert(block);
    }

    fn remove(&mut self, block: u64, holder: &Name) {
        if let Some(holders) = self.holders.get_mut(&block) {
            if let Some(before) = holders.remove(holder) {
                self.by_use.remove(&before.order);
            }
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
        if let Some(blocks) = self.blocks.get_mut(holder) {
            blocks.remove(&block);
        }
    }

    fn trim(&mut self) {
        while self.by_use.len() > self.settings.max_entries {
            let Some((_, (block, holder))) = self.by_use.pop_first() else { return };
            self.remove(block, &holder);
        }
    }
}

fn tokens_of(depth: usize) -> u64 {
    (depth * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN
}

fn parse_block(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
