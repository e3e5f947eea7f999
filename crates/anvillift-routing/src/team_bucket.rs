//! A bucket of requests and tokens that fills at a team's rate.

use anvillift_schema::configuration::Team;

const MS_PER_S: u64 = 1_000;
const MILLI: u64 = 1_000;

/// An amount of requests and tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Requests, in thousandths.
    pub requests_milli: u64,
    /// Prompt and answer tokens.
    pub tokens: u64,
}

/// Rates at which a bucket fills; 0 is unlimited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketRate {
    /// Requests a second, in thousandths.
    pub requests_per_s_milli: u64,
    /// Tokens a second.
    pub tokens_per_s: u64,
    /// Seconds of the rate that may gather.
    pub burst_s: u32,
}

impl BucketRate {
    /// The rate of a team, divided among `parts`.
    pub fn of(team: &Team, parts: u64) -> Self {
        let parts = parts.max(1);
        Self {
            requests_per_s_milli: team.requests_per_s_milli.div_ceil(parts),
            tokens_per_s: team.tokens_per_s.div_ceil(parts),
            burst_s: team.burst_s,
        }
    }

    /// Whether neither requests nor tokens are limited.
    pub fn is_unlimited(&self) -> bool {
        self.requests_per_s_milli == 0 && self.tokens_per_s == 0
    }
}

/// A level that rises with time up to its burst, in thousandths of a unit.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    value_milli: u64,
}

impl Level {
    fn fill(&mut self, rate_milli_per_s: u64, burst_s: u32, passed_ms: u64) {
        let limit_milli = rate_milli_per_s * u64::from(burst_s.max(1));
        let gained_milli = rate_milli_per_s.saturating_mul(passed_ms) / MS_PER_S;
        self.value_milli = self.value_milli.saturating_add(gained_milli).min(limit_milli);
    }

    /// Time until `wanted_milli` are there, in milliseconds.
    fn missing_ms(&self, wanted_milli: u64, rate_milli_per_s: u64) -> u64 {
        if rate_milli_per_s == 0 {
            return 0;
        }
        let missing_milli = wanted_milli.saturating_sub(self.value_milli);
        (missing_milli * MS_PER_S).div_ceil(rate_milli_per_s)
    }
}

/// A token bucket over requests and tokens.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    rate: BucketRate,
    requests: Level,
    tokens: Level,
    filled_ms: u64,
}

impl TeamBucket {
    /// A bucket with one second of its rate.
    ///
    /// It does not start with the whole burst, since its owner may only have
    /// taken over from another host whose bucket was empty.
    pub fn new(now_ms: u64, rate: BucketRate) -> Self {
        let mut bucket =
            Self { rate, requests: Level::default(), tokens: Level::default(), filled_ms: now_ms };
        bucket.fill_by(MS_PER_S);
        bucket
    }

    /// Changes the rate; what is in the bucket stays, up to the new burst.
    pub fn set_rate(&mut self, now_ms: u64, rate: BucketRate) {
        self.fill(now_ms);
        self.rate = rate;
        self.fill_by(0);
    }

    /// Takes one request of `tokens`, or gives the time to come back in milliseconds.
    ///
    /// A request larger than the burst is let in by a full bucket.
    pub fn take(&mut self, now_ms: u64, tokens: u64) -> Result<(), u64> {
        self.fill(now_ms);
        let tokens_milli = (tokens * MILLI).min(self.token_limit_milli());
        let wait_ms = self
            .requests
            .missing_ms(MILLI, self.rate.requests_per_s_milli)
            .max(self.tokens.missing_ms(tokens_milli, self.rate.tokens_per_s * MILLI));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.requests.value_milli = self.requests.value_milli.saturating_sub(MILLI);
        self.tokens.value_milli = self.tokens.value_milli.saturating_sub(tokens_milli);
        Ok(())
    }

    /// Takes up to the wanted amount out, for another host to use.
    pub fn lease(&mut self, now_ms: u64, wanted: Allowance) -> Allowance {
        self.fill(now_ms);
        let requests_milli = wanted.requests_milli.min(self.requests.value_milli);
        let tokens = wanted.tokens.min(self.tokens.value_milli / MILLI);
        self.requests.value_milli -= requests_milli;
        self.tokens.value_milli -= tokens * MILLI;
        Allowance { requests_milli, tokens }
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now_ms;
        self.fill_by(passed_ms);
    }

    fn fill_by(&mut self, passed_ms: u64) {
        let BucketRate { requests_per_s_milli, tokens_per_s, burst_s } = self.rate;
        self.requests.fill(requests_per_s_milli, burst_s, passed_ms);
        self.tokens.fill(tokens_per_s * MILLI, burst_s, passed_ms);
    }

    fn token_limit_milli(&self) -> u64 {
        self.rate.tokens_per_s * MILLI * u64::from(self.rate.burst_s.max(1))
    }
}
