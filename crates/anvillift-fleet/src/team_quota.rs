//! Quotas of teams.

use crate::quota_unit::QuotaUnit;

/// What a team may use, summed over all hosts of all regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second; above 0.
    pub rate_per_s: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
}
