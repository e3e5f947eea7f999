//! The properties of a request that routing decisions are based on.

use anvillift_schema::name::Name;

use crate::prefix::CachedPrefix;

/// Properties of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Service that the request is for.
    pub service: Name,
    /// Team of the caller.
    pub team: Name,
    /// Model that has to be loaded at the upstream; `None` if any will do.
    pub model: Option<Name>,
    /// Prompt tokens, estimated from the body's length.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub answer_tokens: u64,
    /// Length of the body, in bytes.
    pub body_bytes: u64,
    /// Hashes of the prefix blocks of the prompt, shortest prefix first.
    pub prefix_blocks: Vec<u64>,
    /// Upstreams and data centres that have a prefix of the prompt cached, longest prefix first.
    pub cached: Vec<CachedPrefix>,
    /// Priority under overload; requests of higher priority are refused later.
    pub priority: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether another region forwarded the request here; it is not forwarded again.
    pub forwarded: bool,
    /// Upstreams and data centres that attempts of this request went to already.
    pub tried: Vec<Name>,
    /// Hosts of tried data centres that could not place this request although another host of
    /// their data centre may.
    pub failed_hosts: Vec<Name>,
}
