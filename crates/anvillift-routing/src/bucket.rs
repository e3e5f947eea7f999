//! Token bucket over one kind of amount. Amounts are in thousandths, so that small
//! shares of a rate add up.

/// Thousandths of one request or token.
pub const MILLI: u64 = 1_000;

const MS_PER_S: u64 = 1_000;

/// Rate and capacity of a [`Bucket`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketFill {
    /// Amount added per second, in thousandths.
    pub per_s_milli: u64,
    /// Highest level, in thousandths.
    pub capacity_milli: u64,
}

/// A token bucket. Its level is negative while it has a debt.
#[derive(Clone, Debug)]
pub struct Bucket {
    fill: BucketFill,
    level_milli: i64,
    /// Fraction of a thousandth that has been added, in thousandths times milliseconds.
    remainder: u64,
    last_fill_ms: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn empty(now_ms: u64, fill: BucketFill) -> Self {
        Self { fill, level_milli: 0, remainder: 0, last_fill_ms: now_ms }
    }

    /// Changes rate and capacity. The level stays, but does not exceed the new capacity.
    pub fn set_fill(&mut self, now_ms: u64, fill: BucketFill) {
        self.refill(now_ms);
        self.fill = fill;
        self.limit();
    }

    /// Level at `now_ms`, in thousandths.
    pub fn level_milli(&mut self, now_ms: u64) -> i64 {
        self.refill(now_ms);
        self.level_milli
    }

    /// Adds an amount, up to the capacity.
    pub fn add(&mut self, amount_milli: u64) {
        self.level_milli = self.level_milli.saturating_add_unsigned(amount_milli);
        self.limit();
    }

    /// Takes an amount, and leaves a debt if the bucket has less.
    pub fn take(&mut self, amount_milli: u64) {
        self.level_milli = self.level_milli.saturating_sub_unsigned(amount_milli);
    }

    /// Takes what the bucket has of an amount, and returns it.
    pub fn take_up_to(&mut self, amount_milli: u64) -> u64 {
        let taken_milli = amount_milli.min(self.level_milli.max(0).unsigned_abs());
        self.take(taken_milli);
        taken_milli
    }

    /// Time until the level reaches `wanted_milli` at the present rate, in milliseconds.
    /// `u64::MAX` if it never does.
    pub fn time_until_ms(&self, wanted_milli: u64) -> u64 {
        let missing_milli = i128::from(wanted_milli) - i128::from(self.level_milli);
        let Ok(missing_milli) = u128::try_from(missing_milli) else { return 0 };
        if missing_milli == 0 {
            return 0;
        }
        if self.fill.per_s_milli == 0 {
            return u64::MAX;
        }
        let wait_ms = (missing_milli * u128::from(MS_PER_S)).div_ceil(self.fill.per_s_milli.into());
        u64::try_from(wait_ms).unwrap_or(u64::MAX)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_fill_ms);
        self.last_fill_ms = self.last_fill_ms.max(now_ms);
        let added = self.fill.per_s_milli.saturating_mul(elapsed_ms).saturating_add(self.remainder);
        self.remainder = added % MS_PER_S;
        self.add(added / MS_PER_S);
    }

    fn limit(&mut self) {
        let capacity_milli = i64::try_from(self.fill.capacity_milli).unwrap_or(i64::MAX);
        self.level_milli = self.level_milli.min(capacity_milli);
    }
}
