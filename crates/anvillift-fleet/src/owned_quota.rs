//! The bucket of one team at the owner of the quotas.
//!
//! The capacity of the bucket is the burst less the grants that are still valid, but at
//! least half of the burst. Grants that expire unused are reported by the host and return to
//! the bucket.

use anvillift_routing::bucket::{Bucket, BucketFill, MILLI};
use anvillift_routing::grants::Grants;
use anvillift_schema::fleet::{FleetQuotaDemand, FleetQuotaGrant};

use crate::team_quota::TeamQuota;

/// Time for which a grant is valid after the host has asked for it, in milliseconds.
pub(crate) const GRANT_VALID_MS: u64 = 500;

/// Precision of the end of given grants, in milliseconds. Coarse steps keep their list short.
const OUTSTANDING_STEP_MS: u64 = 50;
/// Longest time until a bucket has room that is named, in milliseconds.
const MAX_ROOM_MS: u64 = 60_000;

/// State of one team.
#[derive(Clone, Debug)]
pub(crate) struct OwnedQuota {
    quota: TeamQuota,
    fill: BucketFill,
    bucket: Bucket,
    /// Grants that hosts may still spend.
    outstanding: Grants,
    last_used_ms: u64,
}

impl OwnedQuota {
    /// Creates a bucket that is empty at `began_ms`.
    pub(crate) fn new(began_ms: u64, quota: &TeamQuota, per_s_milli: u64) -> Self {
        let capacity_milli = quota.burst.saturating_mul(MILLI);
        let fill = BucketFill { per_s_milli, capacity_milli };
        Self {
            quota: *quota,
            fill,
            bucket: Bucket::empty(began_ms, fill),
            outstanding: Grants::default(),
            last_used_ms: began_ms,
        }
    }

    pub(crate) fn quota(&self) -> TeamQuota {
        self.quota
    }

    pub(crate) fn last_used_ms(&self) -> u64 {
        self.last_used_ms
    }

    /// Fills the bucket at the old rate up to now, and at `per_s_milli` from now on.
    pub(crate) fn set_rate(&mut self, now_ms: u64, per_s_milli: u64) {
        let burst_milli = self.quota.burst.saturating_mul(MILLI);
        // At least half of the burst stays usable. Otherwise grants that hosts may already
        // have spent would delay a team that is within its quota.
        let outstanding_milli = self.outstanding.valid_milli(now_ms);
        let capacity_milli = burst_milli.saturating_sub(outstanding_milli).max(burst_milli / 2);
        self.fill = BucketFill { per_s_milli, capacity_milli };
        self.bucket.set_fill(now_ms, self.fill);
    }

    /// Applies the quota of the present configuration.
    pub(crate) fn set_quota(&mut self, now_ms: u64, quota: &TeamQuota, per_s_milli: u64) {
        self.quota = *quota;
        self.last_used_ms = now_ms;
        self.set_rate(now_ms, per_s_milli);
    }

    /// Returns grants to the bucket that have expired unused.
    pub(crate) fn give_back(&mut self, unused_milli: u64) {
        self.bucket.add(unused_milli);
    }

    /// Grants what a host wants, as far as the bucket has it.
    pub(crate) fn grant(&mut self, now_ms: u64, demand: &FleetQuotaDemand) -> FleetQuotaGrant {
        let granted = self.take_waiting(now_ms, demand);
        let room_ms = if granted >= demand.waiting {
            0
        } else {
            let least_milli = demand.largest.min(self.fill.capacity_milli).max(1);
            self.bucket.time_until_ms(least_milli).clamp(1, MAX_ROOM_MS)
        };
        // Amounts in advance leave half of the burst for requests that wait, at any host.
        let level_milli = self.bucket.level_milli(now_ms).max(0).unsigned_abs();
        let spare_milli = level_milli.saturating_sub(self.quota.burst.saturating_mul(MILLI / 2));
        let granted = granted + self.bucket.take_up_to(demand.ahead.min(spare_milli));
        let valid_until_ms = (now_ms + GRANT_VALID_MS).next_multiple_of(OUTSTANDING_STEP_MS);
        self.outstanding.add(granted, valid_until_ms);
        FleetQuotaGrant { team: demand.team.clone(), granted, room_ms }
    }

    /// Takes the amount of waiting requests. One that is larger than the bucket is granted
    /// once the bucket is full, and leaves a debt.
    fn take_waiting(&mut self, now_ms: u64, demand: &FleetQuotaDemand) -> u64 {
        let level_milli = self.bucket.level_milli(now_ms);
        let has_room = level_milli >= 0
            && level_milli.unsigned_abs() >= demand.largest.min(self.fill.capacity_milli);
        let available_milli = level_milli.max(0).unsigned_abs();
        let amount_milli = if has_room {
            demand.waiting.min(available_milli.max(demand.largest))
        } else {
            demand.waiting.saturating_sub(demand.largest).min(available_milli)
        };
        self.bucket.take(amount_milli);
        amount_milli
    }
}
