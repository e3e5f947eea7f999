//! The properties of a prompt that are available before a worker has processed it.

use anvillift_schema::rendezvous;

use crate::prompt_part::PromptPart;
use crate::prompt_size::PromptSize;

/// Shortest prompt that counts as long, in tokens.
const MIN_LONG_TOKENS: u64 = 3_000;

/// The size of a prompt and the prefix that it may share with prompts of other
/// requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_tokens: u64,
    /// Parts of the shared prefix, in the order of the prompt.
    pub shared_parts: Vec<PromptPart>,
}

impl Prompt {
    /// Whether the prompt is long or short.
    pub fn size(&self) -> PromptSize {
        if self.input_tokens >= MIN_LONG_TOKENS { PromptSize::Long } else { PromptSize::Short }
    }

    /// Length of the shared prefix, in tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Keys of the prefixes of the prompt, the shortest first. Each key covers the
    /// parts up to its own, since a cached part is of use only if all parts before
    /// it are cached too. The key of a single part is its id.
    pub fn prefix_keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared_parts.iter().scan(None, |previous, part| {
            let key = previous.map_or(part.id, |key| rendezvous::mix(key) ^ part.id);
            *previous = Some(key);
            Some(key)
        })
    }
}
