//! Token bucket that fills at the request and token rates of a team.

use anvillift_schema::configuration::Team;

use crate::bucket::{Bucket, BucketFill, MILLI};

/// A number of requests and tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Requests, in thousandths.
    pub requests_milli: u64,
    /// Tokens of prompts and answers.
    pub tokens: u64,
}

/// Rates at which a bucket fills. A rate of 0 means no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketRate {
    /// Requests per second, in thousandths.
    pub requests_per_s_milli: u64,
    /// Tokens of prompts and answers per second.
    pub tokens_per_s: u64,
    /// Capacity of the bucket, in seconds of its rate; 0 counts as 1.
    pub burst_s: u32,
}

impl BucketRate {
    /// The rate of a team divided by `parts`, rounded up.
    pub fn of(team: &Team, parts: u64) -> Self {
        let parts = parts.max(1);
        Self {
            requests_per_s_milli: team.requests_per_s_milli.div_ceil(parts),
            tokens_per_s: team.tokens_per_s.div_ceil(parts),
            burst_s: team.burst_s,
        }
    }

    /// Whether the team has neither a request limit nor a token limit.
    pub fn is_unlimited(&self) -> bool {
        self.requests_per_s_milli == 0 && self.tokens_per_s == 0
    }

    fn requests(&self) -> BucketFill {
        self.fill_at(self.requests_per_s_milli)
    }

    fn tokens(&self) -> BucketFill {
        self.fill_at(self.tokens_per_s * MILLI)
    }

    fn fill_at(&self, per_s_milli: u64) -> BucketFill {
        let capacity_milli = per_s_milli * u64::from(self.burst_s.max(1));
        BucketFill { per_s_milli, capacity_milli }
    }
}

/// Token bucket of one team, over requests and over tokens.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    rate: BucketRate,
    requests: Bucket,
    tokens: Bucket,
}

impl TeamBucket {
    /// Creates a bucket that contains one second of its rate.
    ///
    /// A new bucket does not hold the full burst, since this host may have taken it
    /// over from another host where it was empty.
    pub fn new(now_ms: u64, rate: BucketRate) -> Self {
        let mut bucket = Self {
            rate,
            requests: Bucket::empty(now_ms, rate.requests()),
            tokens: Bucket::empty(now_ms, rate.tokens()),
        };
        bucket.requests.add(rate.requests().per_s_milli);
        bucket.tokens.add(rate.tokens().per_s_milli);
        bucket
    }

    /// Changes the rate. The level stays, but does not exceed the new burst.
    pub fn set_rate(&mut self, now_ms: u64, rate: BucketRate) {
        self.rate = rate;
        self.requests.set_fill(now_ms, rate.requests());
        self.tokens.set_fill(now_ms, rate.tokens());
    }

    /// Takes one request of `tokens` from the bucket, or returns the time until it
    /// has enough, in milliseconds.
    ///
    /// A request with more tokens than the burst is admitted by a full bucket.
    pub fn take(&mut self, now_ms: u64, tokens: u64) -> Result<(), u64> {
        self.set_rate(now_ms, self.rate);
        let tokens_milli = (tokens * MILLI).min(self.rate.tokens().capacity_milli);
        let requests_milli = if self.rate.requests_per_s_milli == 0 { 0 } else { MILLI };
        let wait_ms = self
            .requests
            .time_until_ms(requests_milli)
            .max(self.tokens.time_until_ms(tokens_milli));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.requests.take(requests_milli);
        self.tokens.take(tokens_milli);
        Ok(())
    }

    /// Takes up to the requested amount out of the bucket for another host.
    pub fn lease(&mut self, now_ms: u64, requested: Allowance) -> Allowance {
        self.set_rate(now_ms, self.rate);
        let requests_milli = self.requests.take_up_to(requested.requests_milli);
        let tokens = self.tokens.level_milli(now_ms).max(0).unsigned_abs() / MILLI;
        let tokens = self.tokens.take_up_to(requested.tokens.min(tokens) * MILLI) / MILLI;
        Allowance { requests_milli, tokens }
    }
}
