//! Amounts that the owner of a bucket has granted, each valid for a limited time.

use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Grant {
    amount_milli: u64,
    valid_until_ms: u64,
}

/// The valid grants of one team, those that expire first in front.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    grants: VecDeque<Grant>,
    total_milli: u64,
    expired_milli: u64,
}

impl Grants {
    /// Adds an amount, in thousandths.
    pub fn add(&mut self, amount_milli: u64, valid_until_ms: u64) {
        if amount_milli == 0 {
            return;
        }
        self.total_milli += amount_milli;
        let position = self.grants.partition_point(|grant| grant.valid_until_ms <= valid_until_ms);
        let previous = position.checked_sub(1).and_then(|index| self.grants.get_mut(index));
        match previous {
            Some(grant) if grant.valid_until_ms == valid_until_ms => {
                grant.amount_milli += amount_milli;
            }
            _ => self.grants.insert(position, Grant { amount_milli, valid_until_ms }),
        }
    }

    /// Takes an amount from the grants that expire first, if they cover it. Returns until
    /// when what was taken would have been valid.
    pub fn take(&mut self, now_ms: u64, amount_milli: u64) -> Option<u64> {
        if self.valid_milli(now_ms) < amount_milli {
            return None;
        }
        self.total_milli -= amount_milli;
        let mut missing_milli = amount_milli;
        let mut valid_until_ms = now_ms;
        while missing_milli > 0
            && let Some(grant) = self.grants.front_mut()
        {
            let taken_milli = missing_milli.min(grant.amount_milli);
            grant.amount_milli -= taken_milli;
            missing_milli -= taken_milli;
            valid_until_ms = grant.valid_until_ms;
            if grant.amount_milli == 0 {
                self.grants.pop_front();
            }
        }
        Some(valid_until_ms)
    }

    /// Sum of the grants that are valid at `now_ms`, in thousandths.
    pub fn valid_milli(&mut self, now_ms: u64) -> u64 {
        while let Some(grant) = self.grants.front().filter(|grant| grant.valid_until_ms < now_ms) {
            self.total_milli -= grant.amount_milli;
            self.expired_milli += grant.amount_milli;
            self.grants.pop_front();
        }
        self.total_milli
    }

    /// What has expired unused since the last call, in thousandths.
    pub fn take_expired(&mut self, now_ms: u64) -> u64 {
        self.valid_milli(now_ms);
        std::mem::take(&mut self.expired_milli)
    }

    /// Drops all grants.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
