//! What a chat-completions request asks for, as the engine sees it.

use anvillift_routing::prefix::{self, BYTES_PER_TOKEN};
use serde::Deserialize;

const WORDS: [&str; 16] = [
    "soil", "water", "turn", "wash", "dry", "rack", "field", "valve", "melon", "brine", "wheel",
    "hour", "night", "north", "deep", "slow",
];

/// Body of a chat-completions request.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Model asked for.
    #[serde(default)]
    pub model: String,
    /// The conversation.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Longest answer.
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Its text.
    #[serde(default)]
    pub content: String,
}

/// A prompt, reduced to what the batch needs.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Length.
    pub tokens: u64,
    /// Prefix blocks, shortest prefix first.
    pub blocks: Vec<u64>,
    seed: u64,
}

impl Prompt {
    /// Reads the messages of a request.
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

    /// Token `index` of the answer; the same for the same prompt on every engine.
    pub fn word(&self, index: u32) -> &'static str {
        let mixed = self.seed.rotate_left(index % 61).wrapping_add(u64::from(index) * 7);
        WORDS[(mixed % WORDS.len() as u64) as usize]
    }
}
