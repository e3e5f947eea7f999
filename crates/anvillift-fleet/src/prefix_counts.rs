//! How often the prompts of a service begin with each prefix.
//!
//! Prompts often form a tree: a few instructions that nearly all of them begin
//! with, then one of many documents, then the question itself. To cache a
//! document once, all prompts with it have to go to one worker, but a worker that
//! receives all prompts with the same instructions is overloaded. The counts tell
//! the two apart: a prefix is common if its prompts would fill a large part of a
//! worker, and the shortest prefix that is not common decides where a prompt goes.
//! Until enough prompts have been counted, the complete shared prefix decides.

use std::collections::BTreeMap;

use crate::prompt::Prompt;

/// Number of prompts from which the counts are used.
const MIN_PROMPTS: u64 = 256;
/// Number of prompts at which all counts are halved, so that old ones fade.
const MAX_PROMPTS: u64 = 1_024;
/// A prefix is common if its share of the prompts exceeds the share of one worker
/// divided by this.
const COMMON_SHARE_DIVISOR: u64 = 2;
/// Fewest prompts with a common prefix; fewer may be chance.
const MIN_COMMON_PROMPTS: u64 = 4;
/// Most prefixes of a prompt that are counted, the shortest first.
const MAX_COUNTED_PREFIXES: usize = 8;

/// Counts of the prompts of one service by prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixCounts {
    by_prefix: BTreeMap<u64, u64>,
    prompts: u64,
}

impl PrefixCounts {
    /// Counts a prompt.
    pub fn record(&mut self, prompt: &Prompt) {
        self.prompts += 1;
        for key in prompt.prefix_keys().take(MAX_COUNTED_PREFIXES) {
            *self.by_prefix.entry(key).or_default() += 1;
        }
        if self.prompts >= MAX_PROMPTS {
            self.halve();
        }
    }

    /// Key of the prefix that decides which of `workers` workers a prompt goes to;
    /// `None` for a prompt without a shared prefix.
    pub fn deciding_key(&self, prompt: &Prompt, workers: usize) -> Option<u64> {
        let complete_key = prompt.prefix_keys().last();
        if self.prompts < MIN_PROMPTS {
            return complete_key;
        }
        let mut counted_keys = prompt.prefix_keys().take(MAX_COUNTED_PREFIXES);
        counted_keys.find(|key| !self.is_common(*key, workers)).or(complete_key)
    }

    fn is_common(&self, key: u64, workers: usize) -> bool {
        let count = self.by_prefix.get(&key).copied().unwrap_or_default();
        count >= MIN_COMMON_PROMPTS && count * workers as u64 * COMMON_SHARE_DIVISOR > self.prompts
    }

    fn halve(&mut self) {
        self.prompts /= 2;
        self.by_prefix.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}
