//! Work sent to a place since its last load report.
//!
//! Reports lag, so a host adds what it sent after the report was sampled.
//! Start at [`SentTokens`].

use std::collections::VecDeque;

/// Entries kept for one place; further ones join the newest.
const MAX_ENTRIES: usize = 256;

/// Tokens sent to one place lately.
#[derive(Clone, Debug, Default)]
pub struct SentTokens {
    entries: VecDeque<(u64, u64)>,
    total: u64,
}

impl SentTokens {
    /// Adds tokens sent at `now_ms`.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.total += tokens;
        let full = self.entries.len() == MAX_ENTRIES;
        match self.entries.back_mut() {
            Some((sent_ms, sum)) if *sent_ms == now_ms || full => {
                *sent_ms = now_ms;
                *sum += tokens;
            }
            _ => self.entries.push_back((now_ms, tokens)),
        }
    }

    /// Forgets what a report sampled at `sampled_ms` includes.
    pub fn reported(&mut self, sampled_ms: u64) {
        while let Some((sent_ms, tokens)) = self.entries.front().copied() {
            if sent_ms > sampled_ms {
                return;
            }
            self.total -= tokens;
            self.entries.pop_front();
        }
    }

    /// Tokens sent and not yet covered by a report.
    pub fn total(&self) -> u64 {
        self.total
    }
}
