//! Index of the prompt prefixes that each upstream has cached.
//!
//! Engines report changes of their prefix caches late and with gaps.
//! [`PrefixIndex`] therefore records the prompts that were sent and corrects the
//! record by cache events: a stored event confirms a block and an evicted event
//! removes it. A gap in the event sequence invalidates the entries that were not
//! used recently. Entries live in two generations of bounded size; when the newer
//! one is full, the older one is dropped.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;

/// Length of a prefix block of a prompt, in bytes.
pub const BLOCK_BYTES: usize = 1024;

/// Average length of a token of a prompt, in bytes.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Most holders that a lookup returns.
const MAX_HOLDERS: usize = 8;

/// Depths at which prefixes are recorded and looked up, in blocks. There are four
/// per doubling of the depth, so that a long prompt costs little more than a short one.
const SAMPLED_DEPTHS: [usize; 36] = [
    1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 112, 128, 160,
    192, 224, 256, 320, 384, 448, 512, 640, 768, 896, 1024,
];

/// Hashes of the complete prefix blocks of a prompt, shortest prefix first. Each
/// hash covers the prompt up to the end of its block.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hasher.update(block);
            let mut first_bytes = [0; 8];
            first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_be_bytes(first_bytes)
        })
        .collect()
}

/// A prefix of a prompt that a holder has cached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPrefix {
    /// Upstream or data centre that has it cached.
    pub holder: Name,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// Bounds of a [`PrefixIndex`].
#[derive(Clone, Debug)]
pub struct PrefixIndexSettings {
    /// Most pairs of block and holder kept; the least recently used are dropped first.
    pub max_entries: usize,
    /// After a gap in the cache events, entries unused for this long are invalid,
    /// in milliseconds.
    pub gap_retention_ms: u64,
}

impl Default for PrefixIndexSettings {
    fn default() -> Self {
        Self { max_entries: 100_000, gap_retention_ms: 30_000 }
    }
}

/// An upstream or data centre that has one block cached.
#[derive(Clone, Debug)]
struct BlockEntry {
    holder: Name,
    epoch: u32,
    used_ms: u64,
}

/// State of one holder.
///
/// Entries of an earlier epoch, or last used before `valid_from_ms`, are invalid.
/// Lookups skip them; they are not removed one by one.
#[derive(Clone, Copy, Debug, Default)]
struct HolderState {
    epoch: u32,
    incarnation: u64,
    sequence: u64,
    valid_from_ms: u64,
}

/// Entries by block. Generations are dropped as a unit, which bounds the memory.
#[derive(Clone, Debug, Default)]
struct Generation {
    entries_by_block: BTreeMap<u64, Vec<BlockEntry>>,
    entry_count: usize,
}

impl Generation {
    fn touch(&mut self, block: u64, entry: BlockEntry) {
        let block_entries = self.entries_by_block.entry(block).or_default();
        match block_entries.iter_mut().find(|existing| existing.holder == entry.holder) {
            Some(existing) => *existing = entry,
            None => {
                block_entries.push(entry);
                self.entry_count += 1;
            }
        }
    }

    fn remove(&mut self, block: u64, holder: &Name) {
        let Some(block_entries) = self.entries_by_block.get_mut(&block) else { return };
        let count_before = block_entries.len();
        block_entries.retain(|entry| entry.holder != *holder);
        self.entry_count -= count_before - block_entries.len();
        if block_entries.is_empty() {
            self.entries_by_block.remove(&block);
        }
    }

    fn entries_of(&self, block: u64) -> &[BlockEntry] {
        self.entries_by_block.get(&block).map_or(&[], Vec::as_slice)
    }
}

/// Prefix blocks and the upstreams or data centres that have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    holder_states: BTreeMap<Name, HolderState>,
    newer: Generation,
    older: Generation,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Number of pairs of block and holder, invalid ones included.
    pub fn len(&self) -> usize {
        self.newer.entry_count + self.older.entry_count
    }

    /// Whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a prompt with these blocks was sent to a holder.
    pub fn record_sent(&mut self, now_ms: u64, holder: &Name, blocks: &[u64]) {
        for depth in sampled_depths(blocks.len()) {
            self.touch(now_ms, blocks[depth - 1], holder);
        }
    }

    /// Applies the cache events of an upstream. A newer incarnation of it starts
    /// with an empty cache; events of an older one are ignored.
    pub fn apply_cache_events(
        &mut self,
        now_ms: u64,
        holder: &Name,
        incarnation: u64,
        events: &[CacheEvent],
    ) {
        let state = self.holder_states.entry(holder.clone()).or_default();
        if state.incarnation > incarnation {
            return;
        }
        if state.incarnation < incarnation {
            *state = HolderState { epoch: state.epoch + 1, incarnation, ..HolderState::default() };
        }
        for event in events {
            self.apply_cache_event(now_ms, holder, event);
        }
    }

    /// Invalidates all entries of a holder.
    pub fn invalidate_holder(&mut self, holder: &Name) {
        if let Some(state) = self.holder_states.get_mut(holder) {
            *state = HolderState { epoch: state.epoch + 1, ..HolderState::default() };
        }
    }

    /// Holders of the longest prefixes of a prompt, longest first. If more hold a
    /// prefix than are returned, the prompt decides which of them are, so that a
    /// prefix that all hold does not send all prompts to the same few.
    pub fn lookup(&self, blocks: &[u64]) -> Vec<CachedPrefix> {
        let mut found: Vec<CachedPrefix> = Vec::new();
        let prompt_key = blocks.last().copied().unwrap_or_default();
        for depth in sampled_depths(blocks.len()).rev() {
            let block = blocks[depth - 1];
            let newer = rotated(self.newer.entries_of(block), prompt_key);
            let older = rotated(self.older.entries_of(block), prompt_key);
            for entry in newer.chain(older) {
                let is_found = found.iter().any(|cached| cached.holder == entry.holder);
                if is_found || !self.is_valid(entry) {
                    continue;
                }
                let holder = entry.holder.clone();
                found.push(CachedPrefix { holder, tokens: tokens_of(depth) });
                if found.len() == MAX_HOLDERS {
                    return found;
                }
            }
        }
        found
    }

    fn is_valid(&self, block_entry: &BlockEntry) -> bool {
        let state = self.holder_states.get(&block_entry.holder);
        state.is_some_and(|state| {
            block_entry.epoch == state.epoch && block_entry.used_ms >= state.valid_from_ms
        })
    }

    fn apply_cache_event(&mut self, now_ms: u64, holder: &Name, event: &CacheEvent) {
        let Some(state) = self.holder_states.get_mut(holder) else { return };
        if event.sequence <= state.sequence {
            return;
        }
        if state.sequence != 0 && event.sequence > state.sequence + 1 {
            state.valid_from_ms = now_ms.saturating_sub(self.settings.gap_retention_ms);
        }
        state.sequence = event.sequence;
        for block in event.stored.iter().filter_map(|text| parse_block(text)) {
            self.touch(now_ms, block, holder);
        }
        for block in event.evicted.iter().filter_map(|text| parse_block(text)) {
            self.newer.remove(block, holder);
            self.older.remove(block, holder);
        }
    }

    fn touch(&mut self, now_ms: u64, block: u64, holder: &Name) {
        let epoch = match self.holder_states.get(holder) {
            Some(state) => state.epoch,
            None => self.holder_states.entry(holder.clone()).or_default().epoch,
        };
        self.newer.touch(block, BlockEntry { holder: holder.clone(), epoch, used_ms: now_ms });
        if self.newer.entry_count >= self.settings.max_entries.div_ceil(2) {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}

/// The entries in their order, from one that the key chooses.
fn rotated(entries: &[BlockEntry], key: u64) -> impl Iterator<Item = &BlockEntry> {
    let start = key.checked_rem(entries.len() as u64).unwrap_or_default() as usize;
    entries[start..].iter().chain(&entries[..start])
}

fn sampled_depths(block_count: usize) -> impl DoubleEndedIterator<Item = usize> {
    let count = SAMPLED_DEPTHS.partition_point(|depth| *depth <= block_count);
    SAMPLED_DEPTHS[..count].iter().copied()
}

fn tokens_of(depth: usize) -> u64 {
    (depth * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN
}

fn parse_block(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
