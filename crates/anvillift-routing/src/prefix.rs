//! Which upstream holds which prompt prefixes.
//!
//! Engines keep a cache of prompt prefixes and tell of it late and with gaps.
//! [`PrefixIndex`] therefore starts from the requests that were sent, and
//! corrects itself by cache events: a stored event confirms, an evicted event
//! removes, and a gap in the sequence drops what was not confirmed lately. Memory
//! is bounded by two generations, of which the older is dropped as a whole.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 1024;

/// Bytes of prompt that make one token, on average.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Holders reported for one request.
const MAX_HOLDERS: usize = 8;

/// Depths at which prefixes are recorded and looked up, in blocks: four an
/// octave, so that a long prompt costs little more than a short one.
const SAMPLED_DEPTHS: [usize; 36] = [
    1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 112, 128, 160,
    192, 224, 256, 320, 384, 448, 512, 640, 768, 896, 1024,
];

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
    /// Pairs of block and holder kept; those not used lately go first.
    pub max_entries: usize,
    /// After a gap in the events, entries unused for this long are dropped, in milliseconds.
    pub gap_retention_ms: u64,
}

impl Default for PrefixIndexSettings {
    fn default() -> Self {
        Self { max_entries: 100_000, gap_retention_ms: 30_000 }
    }
}

/// A holder of one block.
#[derive(Clone, Debug)]
struct Holding {
    holder: Name,
    epoch: u32,
    used_ms: u64,
}

/// What is known of a holder as a whole.
///
/// Holdings of an earlier epoch, or last used before `valid_from_ms`, are void
/// without being looked for.
#[derive(Clone, Copy, Debug, Default)]
struct HolderState {
    epoch: u32,
    incarnation: u64,
    sequence: u64,
    valid_from_ms: u64,
}

/// Holdings by block; a generation is dropped as a whole.
#[derive(Clone, Debug, Default)]
struct Generation {
    holdings: BTreeMap<u64, Vec<Holding>>,
    entries: usize,
}

impl Generation {
    fn touch(&mut self, block: u64, holding: Holding) {
        let holdings = self.holdings.entry(block).or_default();
        match holdings.iter_mut().find(|known| known.holder == holding.holder) {
            Some(known) => *known = holding,
            None => {
                holdings.push(holding);
                self.entries += 1;
            }
        }
    }

    fn remove(&mut self, block: u64, holder: &Name) {
        let Some(holdings) = self.holdings.get_mut(&block) else { return };
        let before = holdings.len();
        holdings.retain(|known| known.holder != *holder);
        self.entries -= before - holdings.len();
        if holdings.is_empty() {
            self.holdings.remove(&block);
        }
    }

    fn of(&self, block: u64) -> &[Holding] {
        self.holdings.get(&block).map_or(&[], Vec::as_slice)
    }
}

/// Prefix blocks and who holds them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    holders: BTreeMap<Name, HolderState>,
    newer: Generation,
    older: Generation,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Pairs of block and holder kept.
    pub fn len(&self) -> usize {
        self.newer.entries + self.older.entries
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a holder was sent a prompt with these blocks.
    pub fn sent(&mut self, now_ms: u64, holder: &Name, blocks: &[u64]) {
        for depth in sampled_depths(blocks.len()) {
            self.touch(now_ms, blocks[depth - 1], holder);
        }
    }

    /// Corrects what is known of an upstream by its cache events.
    pub fn correct(&mut self, now_ms: u64, holder: &Name, incarnation: u64, events: &[CacheEvent]) {
        let known = self.holders.entry(holder.clone()).or_default();
        if known.incarnation > incarnation {
            return;
        }
        if known.incarnation < incarnation {
            *known = HolderState { epoch: known.epoch + 1, incarnation, ..HolderState::default() };
        }
        for event in events {
            self.correct_one(now_ms, holder, event);
        }
    }

    /// Drops all that is known of a holder.
    pub fn forget(&mut self, holder: &Name) {
        if let Some(known) = self.holders.get_mut(holder) {
            *known = HolderState { epoch: known.epoch + 1, ..HolderState::default() };
        }
    }

    /// Who holds the longest parts of a prompt, longest first.
    pub fn lookup(&self, blocks: &[u64]) -> Vec<CachedPrefix> {
        let mut found: Vec<CachedPrefix> = Vec::new();
        for depth in sampled_depths(blocks.len()).rev() {
            let block = blocks[depth - 1];
            let holdings = self.newer.of(block).iter().chain(self.older.of(block));
            for holding in holdings {
                let known = found.iter().any(|cached| cached.holder == holding.holder);
                if known || !self.is_valid(holding) {
                    continue;
                }
                let holder = holding.holder.clone();
                found.push(CachedPrefix { holder, tokens: tokens_of(depth) });
                if found.len() == MAX_HOLDERS {
                    return found;
                }
            }
        }
        found
    }

    fn is_valid(&self, holding: &Holding) -> bool {
        let state = self.holders.get(&holding.holder);
        state.is_some_and(|state| {
            holding.epoch == state.epoch && holding.used_ms >= state.valid_from_ms
        })
    }

    fn correct_one(&mut self, now_ms: u64, holder: &Name, event: &CacheEvent) {
        let Some(known) = self.holders.get_mut(holder) else { return };
        if event.sequence <= known.sequence {
            return;
        }
        if known.sequence != 0 && event.sequence > known.sequence + 1 {
            known.valid_from_ms = now_ms.saturating_sub(self.settings.gap_retention_ms);
        }
        known.sequence = event.sequence;
        for block in event.stored.iter().filter_map(|text| parse_block(text)) {
            self.touch(now_ms, block, holder);
        }
        for block in event.evicted.iter().filter_map(|text| parse_block(text)) {
            self.newer.remove(block, holder);
            self.older.remove(block, holder);
        }
    }

    fn touch(&mut self, now_ms: u64, block: u64, holder: &Name) {
        let epoch = match self.holders.get(holder) {
            Some(state) => state.epoch,
            None => self.holders.entry(holder.clone()).or_default().epoch,
        };
        self.newer.touch(block, Holding { holder: holder.clone(), epoch, used_ms: now_ms });
        if self.newer.entries >= self.settings.max_entries.div_ceil(2) {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}

fn sampled_depths(blocks: usize) -> impl DoubleEndedIterator<Item = usize> {
    let count = SAMPLED_DEPTHS.partition_point(|depth| *depth <= blocks);
    SAMPLED_DEPTHS[..count].iter().copied()
}

fn tokens_of(depth: usize) -> u64 {
    (depth * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN
}

fn parse_block(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
