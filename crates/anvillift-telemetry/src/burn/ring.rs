//! Bounded counts by time.

use std::collections::VecDeque;

use anvillift_schema::burn::RequestCount;

/// Counts of one bucket of time.
#[derive(Debug)]
struct Bucket {
    number: u64,
    count: RequestCount,
}

/// Counts in buckets of equal length, the oldest dropped when full.
#[derive(Debug)]
pub(crate) struct CountRing {
    bucket_ms: u64,
    capacity: usize,
    buckets: VecDeque<Bucket>,
}

impl CountRing {
    /// A ring that covers at least `period_ms`.
    pub(crate) fn new(bucket_ms: u64, period_ms: u64) -> Self {
        let capacity = period_ms.div_ceil(bucket_ms) as usize + 1;
        Self { bucket_ms, capacity, buckets: VecDeque::new() }
    }

    /// Counts one request.
    pub(crate) fn add(&mut self, now_ms: u64, good: bool) {
        let number = now_ms / self.bucket_ms;
        if self.buckets.back().is_none_or(|last| last.number < number) {
            if self.buckets.len() == self.capacity {
                self.buckets.pop_front();
            }
            self.buckets.push_back(Bucket { number, count: RequestCount::default() });
        }
        if let Some(last) = self.buckets.back_mut() {
            let counter = if good { &mut last.count.good } else { &mut last.count.bad };
            *counter += 1;
        }
    }

    /// Counts of the window that ends now; a bucket cut by its start counts.
    pub(crate) fn window(&self, now_ms: u64, window_ms: u64) -> RequestCount {
        let first = now_ms.saturating_sub(window_ms) / self.bucket_ms;
        let mut sum = RequestCount::default();
        for bucket in self.buckets.iter().rev().take_while(|bucket| bucket.number >= first) {
            sum.good += bucket.count.good;
            sum.bad += bucket.count.bad;
        }
        sum
    }

    /// Counts by bucket, the newest first, as far back as any were counted.
    pub(crate) fn series(&self, now_ms: u64) -> Vec<RequestCount> {
        let newest = now_ms / self.bucket_ms;
        let mut series = Vec::new();
        for bucket in self.buckets.iter().rev() {
            let age = newest.saturating_sub(bucket.number) as usize;
            if age >= self.capacity {
                break;
            }
            series.resize(age + 1, RequestCount::default());
            series[age] = bucket.count.clone();
        }
        series
    }
}
