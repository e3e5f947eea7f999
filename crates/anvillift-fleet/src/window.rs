//! Counts events within a sliding window of time.

use std::collections::VecDeque;

/// Times of the events within the window.
#[derive(Clone, Debug)]
pub struct Window {
    length_ms: u64,
    times_ms: VecDeque<u64>,
}

impl Window {
    /// Creates an empty window of the given length, in milliseconds.
    pub fn new(length_ms: u64) -> Self {
        Self { length_ms, times_ms: VecDeque::new() }
    }

    /// Counts an event at `now_ms`.
    pub fn add(&mut self, now_ms: u64) {
        self.count(now_ms);
        self.times_ms.push_back(now_ms);
    }

    /// Number of events within the window that ends at `now_ms`.
    pub fn count(&mut self, now_ms: u64) -> usize {
        while self.times_ms.front().is_some_and(|time_ms| time_ms + self.length_ms < now_ms) {
            self.times_ms.pop_front();
        }
        self.times_ms.len()
    }
}
