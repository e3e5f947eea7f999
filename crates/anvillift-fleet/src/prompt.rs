//! What is known of a prompt before it is read.

/// The size of a prompt and what it shares with others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Id of the first part, which other requests may share.
    pub shared_id: u64,
    /// Tokens of the parts that other requests may share.
    pub shared_tokens: u64,
}
