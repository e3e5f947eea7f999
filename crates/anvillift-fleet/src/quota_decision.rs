//! Whether a request is within the quota of its team.

use crate::quota_source::QuotaSource;
use crate::quota_use::QuotaUse;

/// Decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the quota and was counted.
    Admitted(QuotaUse),
    /// The quota has no room.
    Refused(QuotaRefusal),
    /// The owner is asked. The number identifies the request in later calls.
    Waiting(u64),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaRefusal {
    /// Time until the quota has room for the request, in milliseconds.
    pub retry_after_ms: u64,
    /// What this host could have spent, in thousandths.
    pub available_milli: u64,
    /// Whether the owner or the own share of the host has decided.
    pub source: QuotaSource,
}
