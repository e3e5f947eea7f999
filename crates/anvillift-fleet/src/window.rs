//! A count over a sliding span of time.

use std::collections::VecDeque;

/// Counts what happened within a span of time.
#[derive(Clone, Debug)]
pub struct Window {
    span_ms: u64,
    times_ms: VecDeque<u64>,
}

impl Window {
    /// A window of a length.
    pub fn new(span_ms: u64) -> Self {
        Self { span_ms, times_ms: VecDeque::new() }
    }

    /// Counts one now.
    pub fn add(&mut self, now_ms: u64) {
        self.count(now_ms);
        self.times_ms.push_back(now_ms);
    }

    /// How many happened within the span up to now.
    pub fn count(&mut self, now_ms: u64) -> usize {
        while self.times_ms.front().is_some_and(|time_ms| time_ms + self.span_ms < now_ms) {
            self.times_ms.pop_front();
        }
        self.times_ms.len()
    }
}
