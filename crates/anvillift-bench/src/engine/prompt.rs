//! Chat-completions requests, and the prompt that the engine derives from them.

use anvillift_routing::prefix::{self, BYTES_PER_TOKEN};
use serde::Deserialize;

const WORDS: [&str; 16] = [
    "soil", "water", "turn", "wash", "dry", "rack", "field", "valve", "melon", "brine", "wheel",
    "hour", "night", "north", "deep", "slow",
];

/// JSON body of a chat-completions request; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the requested model, which the answer repeats.
    #[serde(default)]
    pub model: String,
    /// Messages of the conversation, oldest first.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Length of the answer in tokens; the engine's default when absent.
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

/// Prompt reduced to its length, its prefix blocks and a seed for the answer.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u64,
    /// Hashes of the prefix blocks, shortest prefix first.
    pub blocks: Vec<u64>,
    seed: u64,
}

impl Prompt {
    /// Builds the prompt from the messages of a request.
    pub fn new(messages: &[ChatMessage]) -> Self {
        let text: String = messages.iter().map(|message| message.content.as_str()).collect();
        let digest = blake3::hash(text.as_bytes());
        let seed = digest.as_bytes()[..8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Self {
            tokens: (text.len() as u64).div_ceil(BYTES_PER_TOKEN),
            blocks: prefix::blocks(&text),
            seed,
        }
    }

    /// Returns token `index` of the answer, which is the same for the same prompt
    /// on every engine.
    pub fn answer_token(&self, index: u32) -> &'static str {
        let mixed = self.seed.rotate_left(index % 61).wrapping_add(u64::from(index) * 7);
        WORDS[(mixed % WORDS.len() as u64) as usize]
    }
}
