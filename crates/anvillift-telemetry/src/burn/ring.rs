//! A ring buffer of request counts by time bucket.

use std::collections::VecDeque;

use anvillift_schema::burn::RequestCount;

/// Counts of the time bucket that starts at `number` times the bucket length.
#[derive(Debug)]
struct Bucket {
    number: u64,
    count: RequestCount,
}

/// Request counts in buckets of equal length. A full ring drops its oldest bucket; buckets without
/// requests are not stored.
#[derive(Debug)]
pub(crate) struct CountRing {
    bucket_ms: u64,
    capacity: usize,
    buckets: VecDeque<Bucket>,
}

impl CountRing {
    /// Creates a ring that covers at least `period_ms`.
    pub(crate) fn new(bucket_ms: u64, period_ms: u64) -> Self {
        let capacity = period_ms.div_ceil(bucket_ms) as usize + 1;
        Self { bucket_ms, capacity, buckets: VecDeque::new() }
    }

    /// Counts one request. A request whose time is before the newest bucket is counted in the newest
    /// bucket, so that the buckets stay in order.
    pub(crate) fn add(&mut self, now_ms: u64, is_good: bool) {
        let number = now_ms / self.bucket_ms;
        if self.buckets.back().is_none_or(|last| last.number < number) {
            if self.buckets.len() == self.capacity {
                self.buckets.pop_front();
            }
            self.buckets.push_back(Bucket { number, count: RequestCount::default() });
        }
        if let Some(last) = self.buckets.back_mut() {
            let counter = if is_good { &mut last.count.good } else { &mut last.count.bad };
            *counter += 1;
        }
    }

    /// Sums the counts of the window that ends at `now_ms`. The bucket that contains the start of
    /// the window is included entirely.
    pub(crate) fn window(&self, now_ms: u64, window_ms: u64) -> RequestCount {
        let first = now_ms.saturating_sub(window_ms) / self.bucket_ms;
        let mut sum = RequestCount::default();
        for bucket in self.buckets.iter().rev().take_while(|bucket| bucket.number >= first) {
            sum.good += bucket.count.good;
            sum.bad += bucket.count.bad;
        }
        sum
    }

    /// Returns the counts by bucket, the newest first, back to the oldest bucket that is stored and
    /// within the period. The first entry is the bucket of `now_ms`.
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
