//! Token bucket that fills at the request and token rates of a team.

use anvillift_schema::configuration::Team;

const MS_PER_S: u64 = 1_000;
const MILLI: u64 = 1_000;

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
}

/// Fill level of the requests or of the tokens, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    available_milli: u64,
}

impl Level {
    fn fill(&mut self, rate_milli_per_s: u64, burst_s: u32, elapsed_ms: u64) {
        let limit_milli = rate_milli_per_s * u64::from(burst_s.max(1));
        let added_milli = rate_milli_per_s.saturating_mul(elapsed_ms) / MS_PER_S;
        self.available_milli = self.available_milli.saturating_add(added_milli).min(limit_milli);
    }

    /// Time until `wanted_milli` are available, in milliseconds.
    fn time_until_ms(&self, wanted_milli: u64, rate_milli_per_s: u64) -> u64 {
        if rate_milli_per_s == 0 {
            return 0;
        }
        let missing_milli = wanted_milli.saturating_sub(self.available_milli);
        (missing_milli * MS_PER_S).div_ceil(rate_milli_per_s)
    }
}

/// Token bucket of one team, over requests and over tokens.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    rate: BucketRate,
    requests: Level,
    tokens: Level,
    last_fill_ms: u64,
}

impl TeamBucket {
    /// Creates a bucket that contains one second of its rate.
    ///
    /// A new bucket does not hold the full burst, since this host may have taken it
    /// over from another host where it was empty.
    pub fn new(now_ms: u64, rate: BucketRate) -> Self {
        let mut bucket = Self {
            rate,
            requests: Level::default(),
            tokens: Level::default(),
            last_fill_ms: now_ms,
        };
        bucket.fill_by(MS_PER_S);
        bucket
    }

    /// Changes the rate. The level stays, but does not exceed the new burst.
    pub fn set_rate(&mut self, now_ms: u64, rate: BucketRate) {
        self.fill(now_ms);
        self.rate = rate;
        self.fill_by(0);
    }

    /// Takes one request of `tokens` from the bucket, or returns the time until it
    /// has enough, in milliseconds.
    ///
    /// A request with more tokens than the burst is admitted by a full bucket.
    pub fn take(&mut self, now_ms: u64, tokens: u64) -> Result<(), u64> {
        self.fill(now_ms);
        let tokens_milli = (tokens * MILLI).min(self.token_limit_milli());
        let wait_ms = self
            .requests
            .time_until_ms(MILLI, self.rate.requests_per_s_milli)
            .max(self.tokens.time_until_ms(tokens_milli, self.rate.tokens_per_s * MILLI));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.requests.available_milli = self.requests.available_milli.saturating_sub(MILLI);
        self.tokens.available_milli = self.tokens.available_milli.saturating_sub(tokens_milli);
        Ok(())
    }

    /// Takes up to the requested amount out of the bucket for another host.
    pub fn lease(&mut self, now_ms: u64, requested: Allowance) -> Allowance {
        self.fill(now_ms);
        let requests_milli = requested.requests_milli.min(self.requests.available_milli);
        let tokens = requested.tokens.min(self.tokens.available_milli / MILLI);
        self.requests.available_milli -= requests_milli;
        self.tokens.available_milli -= tokens * MILLI;
        Allowance { requests_milli, tokens }
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_fill_ms);
        self.last_fill_ms = now_ms;
        self.fill_by(elapsed_ms);
    }

    fn fill_by(&mut self, elapsed_ms: u64) {
        let BucketRate { requests_per_s_milli, tokens_per_s, burst_s } = self.rate;
        self.requests.fill(requests_per_s_milli, burst_s, elapsed_ms);
        self.tokens.fill(tokens_per_s * MILLI, burst_s, elapsed_ms);
    }

    fn token_limit_milli(&self) -> u64 {
        self.rate.tokens_per_s * MILLI * u64::from(self.rate.burst_s.max(1))
    }
}
