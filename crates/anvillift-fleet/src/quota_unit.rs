//! What the quota of a team counts.

/// What one request adds to the use of its team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// Tokens counted for a request that does not state them.
        plain_tokens: u64,
    },
}
