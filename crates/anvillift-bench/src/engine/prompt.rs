//! What a chat-completions request asks for, as the engine sees it.

use serde::Deserialize;

/// Length of a prefix block.
const BLOCK_BYTES: usize = 1024;
/// Bytes of text that make a token.
const TOKEN_BYTES: usize = 4;
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
    digest: u64,
}

impl Prompt {
    /// Reads the messages of a request.
    pub fn new(messages: &[ChatMessage]) -> Self {
        let text: String = messages.iter().map(|message| message.content.as_str()).collect();
        let mut hasher = blake3::Hasher::new();
        let mut blocks = Vec::new();
        let mut chunks = text.as_bytes().chunks_exact(BLOCK_BYTES);
        for chunk in &mut chunks {
            hasher.update(chunk);
            blocks.push(leading_u64(&hasher));
        }
        hasher.update(chunks.remainder());
        let tokens = text.len().div_ceil(TOKEN_BYTES) as u64;
        Self { tokens, blocks, digest: leading_u64(&hasher) }
    }

    /// Token `index` of the answer; the same for the same prompt on every engine.
    pub fn word(&self, index: u32) -> &'static str {
        let mixed = self.digest.rotate_left(index % 61).wrapping_add(u64::from(index) * 7);
        WORDS[(mixed % WORDS.len() as u64) as usize]
    }
}

fn leading_u64(hasher: &blake3::Hasher) -> u64 {
    let digest = hasher.finalize();
    digest.as_bytes()[..8].iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}
