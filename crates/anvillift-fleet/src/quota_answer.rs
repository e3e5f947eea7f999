//! What follows from an answer of the owner of the quotas.

use crate::quota_decision::QuotaDecision;

/// Consequences of one frame of the owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuotaAnswer {
    /// Decisions about waiting requests, by their numbers.
    pub decisions: Vec<(u64, QuotaDecision)>,
    /// Time from the question to the answer, in milliseconds; `None` if the frame was ignored.
    pub waited_ms: Option<u64>,
    /// Whether the host had no owner, or another one, before this frame.
    pub is_new_owner: bool,
}
