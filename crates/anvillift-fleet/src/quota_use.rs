//! An amount that a request has used of a quota.

use anvillift_schema::name::Name;

use crate::quota_source::QuotaSource;

/// What was counted for an admitted request. It can be given back as long as nothing of the
/// request was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaUse {
    /// Team of the request.
    pub team: Name,
    /// Amount, in thousandths.
    pub amount_milli: u64,
    /// From where it was taken.
    pub source: QuotaSource,
    /// Term of the owner that has granted it; 0 for an own share.
    pub term: u64,
    /// Time at which the grant expires, in milliseconds; 0 for an own share.
    pub valid_until_ms: u64,
}
