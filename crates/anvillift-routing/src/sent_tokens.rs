//! Tokens sent to an upstream or data centre since its last load report.
//!
//! Load reports lag behind, so a host adds the tokens that it sent after the report
//! was sampled.

use std::collections::VecDeque;

/// Most entries kept for one upstream or data centre; further tokens are added to
/// the newest entry.
const MAX_ENTRIES: usize = 256;

/// Tokens that were sent to one upstream or data centre and are not yet reported.
#[derive(Clone, Debug, Default)]
pub struct SentTokens {
    entries: VecDeque<(u64, u64)>,
    total: u64,
}

impl SentTokens {
    /// Adds tokens that were sent at `now_ms`.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.total += tokens;
        let is_full = self.entries.len() == MAX_ENTRIES;
        match self.entries.back_mut() {
            Some((sent_ms, sum)) if *sent_ms == now_ms || is_full => {
                *sent_ms = now_ms;
                *sum += tokens;
            }
            _ => self.entries.push_back((now_ms, tokens)),
        }
    }

    /// Removes the tokens that a report sampled at `sampled_ms` includes.
    pub fn remove_reported(&mut self, sampled_ms: u64) {
        while let Some((sent_ms, tokens)) = self.entries.front().copied() {
            if sent_ms > sampled_ms {
                return;
            }
            self.total -= tokens;
            self.entries.pop_front();
        }
    }

    /// Tokens that no report includes yet.
    pub fn total(&self) -> u64 {
        self.total
    }
}
