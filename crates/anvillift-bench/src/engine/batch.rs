//! Continuous batching, without a clock.
//!
//! Requests wait by priority, then by arrival. [`Batch::begin_step`] admits
//! what fits, spends the prefill budget and says how long the step takes;
//! [`Batch::finish_step`] gives the tokens that the step made. A step grows
//! with the batch, so the token rate of each stream falls with it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::cache::{BLOCK_TOKENS, PrefixCache};
use super::settings::BatchSettings;

const MICROS_PER_S: u64 = 1_000_000;

/// What is asked of the batch.
#[derive(Clone, Debug, Default)]
pub struct SequenceRequest {
    /// Higher goes first.
    pub priority: u32,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Prefix blocks of the prompt.
    pub blocks: Vec<u64>,
    /// First token to make; above 0 when a stream is resumed.
    pub first_index: u32,
    /// Tokens of the whole answer.
    pub answer_tokens: u32,
}

/// A token made by a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Token {
    /// Sequence it belongs to.
    pub id: u64,
    /// Its place in the answer.
    pub index: u32,
    /// Whether the answer ends with it.
    pub last: bool,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BatchTotals {
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Answer tokens made.
    pub answer_tokens: u64,
    /// Answers finished.
    pub completed: u64,
    /// Sequences cancelled.
    pub cancelled: u64,
}

#[derive(Debug)]
struct Sequence {
    request: SequenceRequest,
    remaining_prefill_tokens: u64,
    cached_tokens: u64,
    next_index: u32,
}

/// The batch of an engine, with its queue and cache.
#[derive(Debug)]
pub struct Batch {
    settings: BatchSettings,
    cache: PrefixCache,
    waiting: BTreeMap<(Reverse<u32>, u64), SequenceRequest>,
    running: BTreeMap<u64, Sequence>,
    decoding: Vec<u64>,
    next_id: u64,
    totals: BatchTotals,
}

impl Batch {
    /// An idle batch.
    pub fn new(settings: BatchSettings, cache_blocks: usize) -> Self {
        Self {
            settings,
            cache: PrefixCache::new(cache_blocks),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            decoding: Vec::new(),
            next_id: 0,
            totals: BatchTotals::default(),
        }
    }

    /// Queues a request; `None` when the queue is full.
    pub fn submit(&mut self, request: SequenceRequest) -> Option<u64> {
        if self.waiting.len() >= self.settings.max_queued_requests as usize {
            return None;
        }
        self.next_id += 1;
        self.waiting.insert((Reverse(request.priority), self.next_id), request);
        Some(self.next_id)
    }

    /// Drops a request whose caller left.
    pub fn cancel(&mut self, id: u64) {
        let running = self.running.remove(&id).is_some();
        let key = self.waiting.keys().find(|(_, waiting)| *waiting == id).copied();
        let waiting = key.is_some_and(|key| self.waiting.remove(&key).is_some());
        if running || waiting {
            self.totals.cancelled += 1;
        }
    }

    /// Starts a step; its duration, or `None` when there is nothing to do.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefilled_tokens = self.prefill();
        self.decoding = self
            .running
            .iter()
            .filter(|(_, sequence)| sequence.remaining_prefill_tokens == 0)
            .map(|(id, _)| *id)
            .collect();
        let prefill_us = prefilled_tokens * MICROS_PER_S / self.settings.prefill_rate_tokens_per_s;
        let decode_us = self.settings.step_per_sequence_us * self.decoding.len() as u64;
        Some(self.settings.step_base_us + decode_us + prefill_us)
    }

    /// Ends a step; the tokens that it made.
    pub fn finish_step(&mut self) -> Vec<Token> {
        let decoding = std::mem::take(&mut self.decoding);
        decoding.into_iter().filter_map(|id| self.decode(id)).collect()
    }

    /// Requests running.
    pub fn running_requests(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    pub fn queued_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens still to be computed, of waiting and running requests.
    pub fn queued_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.values().map(|request| request.prompt_tokens).sum();
        let running: u64 =
            self.running.values().map(|sequence| sequence.remaining_prefill_tokens).sum();
        waiting + running
    }

    /// Sums since the start.
    pub fn totals(&self) -> BatchTotals {
        self.totals
    }

    /// The prefix cache.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_running_requests as usize
            && let Some(((_, id), request)) = self.waiting.pop_first()
        {
            let hit_tokens = self.cache.lookup(&request.blocks) as u64 * BLOCK_TOKENS;
            // The last token of a prompt is always computed.
            let cached_tokens = hit_tokens.min(request.prompt_tokens.saturating_sub(1));
            let computed_tokens = request.prompt_tokens - cached_tokens;
            self.totals.cached_tokens += cached_tokens;
            let sequence = Sequence {
                remaining_prefill_tokens: computed_tokens,
                cached_tokens,
                next_index: request.first_index,
                request,
            };
            self.running.insert(id, sequence);
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut budget_tokens = self.settings.prefill_chunk_tokens;
        let mut pending: Vec<&mut Sequence> = self
            .running
            .values_mut()
            .filter(|sequence| sequence.remaining_prefill_tokens > 0)
            .collect();
        pending.sort_by_key(|sequence| Reverse(sequence.request.priority));
        for sequence in pending {
            let spent = sequence.remaining_prefill_tokens.min(budget_tokens);
            sequence.remaining_prefill_tokens -= spent;
            budget_tokens -= spent;
            if spent > 0 && sequence.remaining_prefill_tokens == 0 {
                self.cache.store(&sequence.request.blocks);
            }
        }
        let spent_tokens = self.settings.prefill_chunk_tokens - budget_tokens;
        self.totals.computed_tokens += spent_tokens;
        spent_tokens
    }

    fn decode(&mut self, id: u64) -> Option<Token> {
        let sequence = self.running.get_mut(&id)?;
        let index = sequence.next_index;
        let last = index + 1 >= sequence.request.answer_tokens;
        let cached_tokens = sequence.cached_tokens;
        sequence.next_index += 1;
        self.totals.answer_tokens += 1;
        if last {
            self.running.remove(&id);
            self.totals.completed += 1;
        }
        Some(Token { id, index, last, cached_tokens })
    }
}
