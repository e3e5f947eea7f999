//! A host's own share of the quota of a team, which it spends while it has no owner.

use anvillift_routing::bucket::{Bucket, BucketFill, MILLI};
use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::quota_decision::QuotaRefusal;
use crate::quota_source::QuotaSource;
use crate::team_quota::TeamQuota;

/// Longest time until a share has room that is named, in milliseconds.
const MAX_ROOM_MS: u64 = 60_000;

/// Bucket of one host for one team. It is empty when the time without an owner begins.
#[derive(Clone, Debug)]
pub(crate) struct QuotaShare {
    bucket: Bucket,
}

impl QuotaShare {
    /// Creates the share for a first request.
    ///
    /// A request larger than the bucket leaves a debt. If all hosts admitted one as soon as
    /// their small buckets are full, their sum would exceed the quota by a multiple; therefore
    /// each begins with another part of that debt.
    pub(crate) fn new(
        began_ms: u64,
        (host, team): (u64, &Name),
        fill: BucketFill,
        amount_milli: u64,
    ) -> Self {
        let mut bucket = Bucket::empty(began_ms, fill);
        let position = rendezvous::mix(host ^ rendezvous::hash(team.as_bytes()));
        let debt = u128::from(amount_milli.saturating_sub(fill.capacity_milli));
        let part = (debt * u128::from(position)) >> u64::BITS;
        bucket.take(u64::try_from(part).unwrap_or(u64::MAX));
        Self { bucket }
    }

    /// Counts a request, if the share has room for it.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        fill: BucketFill,
        amount_milli: u64,
    ) -> Result<(), QuotaRefusal> {
        self.bucket.set_fill(now_ms, fill);
        let level_milli = self.bucket.level_milli(now_ms);
        let wait_ms = self.bucket.time_until_ms(amount_milli.min(fill.capacity_milli));
        if wait_ms == 0 {
            self.bucket.take(amount_milli);
            return Ok(());
        }
        Err(QuotaRefusal {
            retry_after_ms: wait_ms.min(MAX_ROOM_MS),
            available_milli: level_milli.max(0).unsigned_abs(),
            source: QuotaSource::OwnShare,
        })
    }

    /// Adds the amount of a request that was not sent.
    pub(crate) fn give_back(&mut self, amount_milli: u64) {
        self.bucket.add(amount_milli);
    }
}

/// The part of a quota that one of `hosts` may spend.
pub(crate) fn fill(quota: &TeamQuota, hosts: u64) -> BucketFill {
    BucketFill {
        per_s_milli: quota.rate_per_s.saturating_mul(MILLI) / hosts,
        capacity_milli: quota.burst.saturating_mul(MILLI) / hosts,
    }
}
