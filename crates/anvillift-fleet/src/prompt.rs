//! What a host knows of a prompt before a worker has processed it.

/// The size of a prompt and the prefix that it shares with other prompts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_tokens: u64,
    /// Id of the first part, which prompts of other requests may share.
    pub shared_id: u64,
    /// Length of the parts that prompts of other requests may share, in tokens.
    pub shared_tokens: u64,
}
