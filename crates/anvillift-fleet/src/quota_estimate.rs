//! Recent demand of a team at one host, and the amount to ask for in advance.

const MS_PER_S: u64 = 1_000;
/// Time for which a host asks in advance, in milliseconds.
const AHEAD_MS: u64 = 400;
/// Requests per second from which on a host asks in advance, in thousandths. A grant for
/// rarer requests would mostly expire, and cost more frames than asking for each of them.
const MIN_REQUESTS_PER_S_MILLI: u64 = 1_000;
/// Weight of the demand before the last interval.
const OLD_WEIGHT: u64 = 3;

/// Demand of a team, updated with each frame to the owner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaEstimate {
    interval_milli: u64,
    interval_requests: u64,
    amount_per_s_milli: u64,
    requests_per_s_milli: u64,
    mean_milli: u64,
}

impl QuotaEstimate {
    /// Counts a request of this amount.
    pub(crate) fn record(&mut self, amount_milli: u64) {
        self.interval_milli = self.interval_milli.saturating_add(amount_milli);
        self.interval_requests += 1;
    }

    /// Ends an interval, and returns the amount that the host should hold. Demand that grows
    /// counts at once, and demand that shrinks over some intervals.
    pub(crate) fn end_interval(&mut self, elapsed_ms: u64) -> u64 {
        let elapsed_ms = elapsed_ms.max(1);
        let amount = std::mem::take(&mut self.interval_milli);
        let requests = std::mem::take(&mut self.interval_requests);
        self.mean_milli = amount.checked_div(requests).unwrap_or(self.mean_milli);
        let per_s = |count: u64| count.saturating_mul(MS_PER_S) / elapsed_ms;
        self.amount_per_s_milli = smoothed(self.amount_per_s_milli, per_s(amount));
        self.requests_per_s_milli = smoothed(self.requests_per_s_milli, per_s(requests * MS_PER_S));
        if self.requests_per_s_milli < MIN_REQUESTS_PER_S_MILLI {
            return 0;
        }
        (self.amount_per_s_milli * AHEAD_MS / MS_PER_S).max(self.mean_milli)
    }
}

fn smoothed(old: u64, new: u64) -> u64 {
    new.max((old.saturating_mul(OLD_WEIGHT).saturating_add(new)) / (OLD_WEIGHT + 1))
}
