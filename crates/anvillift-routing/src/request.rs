//! The facts of a request that decisions rest on.

use anvillift_schema::name::Name;

use crate::prefix::CachedPrefix;

/// Facts of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Service asked for.
    pub service: Name,
    /// Team that asks.
    pub team: Name,
    /// Model asked for, if any.
    pub model: Option<Name>,
    /// Prompt tokens, estimated from the body's length.
    pub prompt_tokens: u64,
    /// Answer tokens asked for at most.
    pub answer_tokens: u64,
    /// Body length in bytes.
    pub body_bytes: u64,
    /// Hashes of the prompt's prefix blocks, shortest prefix first.
    pub prefix_blocks: Vec<u64>,
    /// Who has parts of the prompt cached, longest part first.
    pub cached: Vec<CachedPrefix>,
    /// Priority under overload; higher is kept longer.
    pub priority: u32,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may be repeated without harm.
    pub idempotent: bool,
    /// Whether it was handed over by another region already.
    pub forwarded: bool,
    /// Upstreams tried before in this request.
    pub tried: Vec<Name>,
}
