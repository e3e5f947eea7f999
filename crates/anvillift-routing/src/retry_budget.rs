//! The retry budget of a service.
//!
//! First attempts earn credit and retries spend it, so that retries stay a fixed
//! share of the load however many requests fail.

/// Credit that one retry costs, in thousandths of a retry.
const RETRY_MILLI: u64 = 1_000;

/// Rate and bound of the credit of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries that one first attempt earns, in thousandths.
    pub earned_per_attempt_milli: u32,
    /// Most credit that is kept, in retries.
    pub burst_retries: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { earned_per_attempt_milli: 100, burst_retries: 10 }
    }
}

/// Credit for retries, shared by all requests of a service on a host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    credit_milli: u64,
}

impl RetryBudget {
    /// Creates a budget whose credit is the full burst.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, credit_milli: u64::from(settings.burst_retries) * RETRY_MILLI }
    }

    /// Changes the credit that a first attempt earns, in thousandths of a retry.
    /// The present credit stays.
    pub fn set_earned_per_attempt(&mut self, milli: u32) {
        self.settings.earned_per_attempt_milli = milli;
    }

    /// Adds the credit of one first attempt.
    pub fn earn(&mut self) {
        let limit_milli = u64::from(self.settings.burst_retries) * RETRY_MILLI;
        let earned_milli = u64::from(self.settings.earned_per_attempt_milli);
        self.credit_milli = (self.credit_milli + earned_milli).min(limit_milli);
    }

    /// Spends the credit of one retry; returns false if there is not enough.
    pub fn spend(&mut self) -> bool {
        let has_credit = self.credit_milli >= RETRY_MILLI;
        if has_credit {
            self.credit_milli -= RETRY_MILLI;
        }
        has_credit
    }
}
