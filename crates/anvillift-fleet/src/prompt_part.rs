//! One part of the prefix of a prompt.

/// A part of a prompt that other prompts may begin with as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part; prompts with the same id have the same text there.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}
