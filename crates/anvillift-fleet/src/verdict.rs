//! A decision which requests are refused since they crash workers.

use std::collections::BTreeSet;

/// Features to be quarantined together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Requests that have all of them are refused.
    pub features: BTreeSet<u64>,
    /// Time for which they are, in milliseconds.
    pub duration_ms: u64,
}
