//! The properties of a prompt that are available before a worker has processed it.

/// The size of a prompt and the prefix that it may share with prompts of other
/// requests. The prefix consists of one or more parts, each with an id.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_tokens: u64,
    /// Id of the first part of the shared prefix.
    pub shared_id: u64,
    /// Length of the shared prefix with all its parts, in tokens.
    pub shared_tokens: u64,
}
