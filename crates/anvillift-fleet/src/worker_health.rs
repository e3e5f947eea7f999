//! Recent behaviour of a worker, as seen by this host.
//!
//! A worker may fail, reject requests or stop answering while it reports itself as
//! ready. Each outcome changes a score that decays with time. A worker with
//! requests in flight that sends no bytes for a while counts as silent until the
//! next byte arrives from it.

use crate::choose::Degradation;

/// Weight of the newest answer in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.15;
/// Share of failed answers above which the worker itself is at fault. Up to it,
/// failures count as caused by the requests.
const MAX_REQUEST_FAILURE_SHARE: f64 = 0.28;

/// Thresholds of [`WorkerHealth`].
#[derive(Clone, Debug)]
pub struct WorkerHealthSettings {
    /// A worker with requests in flight counts as silent after this time without a
    /// byte, in milliseconds.
    pub silent_after_ms: u64,
    /// Score above which a worker counts as failing.
    pub avoid_above: f64,
    /// Half-life of the score, in milliseconds.
    pub half_life_ms: f64,
}

impl Default for WorkerHealthSettings {
    fn default() -> Self {
        Self { silent_after_ms: 1_500, avoid_above: 1.5, half_life_ms: 2_000.0 }
    }
}

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    score: f64,
    last_score_ms: u64,
    last_received_ms: u64,
    silent_since_ms: Option<u64>,
    in_flight: u32,
    /// Moving average of the share of answers that are failures of the worker.
    failure_share: f64,
}

impl WorkerHealth {
    /// Records a request that was sent to the worker.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.in_flight += 1;
        self.silent_since_ms.get_or_insert(now_ms);
    }

    /// Records that bytes arrived from the worker.
    pub fn record_bytes(&mut self, now_ms: u64) {
        self.last_received_ms = now_ms;
        if self.in_flight > 0 {
            self.silent_since_ms = Some(now_ms);
        }
    }

    /// Records that a request ended, regardless of its outcome.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since_ms = None;
        }
    }

    /// Records a successful answer, which lowers the score.
    pub fn record_success(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        self.decay(now_ms, settings);
        self.score *= 0.7;
    }

    /// Records a request that failed, was rejected or was never answered.
    pub fn record_failure(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        self.decay(now_ms, settings);
        self.score += 1.0;
    }

    /// Records an answer, and whether it is a failure of the worker.
    pub fn record_answer(&mut self, is_failure: bool) {
        let newest = f64::from(u8::from(is_failure));
        self.failure_share += (newest - self.failure_share) * NEWEST_WEIGHT;
    }

    /// Forgets the failures of a process that has ended since.
    pub fn forget_failures(&mut self) {
        self.score = 0.0;
        self.failure_share = 0.0;
    }

    /// Whether the worker fails so often that another one is likely to do better.
    /// Some requests fail at every worker, and a retry does not help those.
    pub fn is_failing(&self) -> bool {
        self.failure_share > MAX_REQUEST_FAILURE_SHARE
    }

    /// Time since which the worker sends nothing while it has requests, if it counts as silent, in
    /// milliseconds.
    pub fn silent_since_ms(&self, now_ms: u64, settings: &WorkerHealthSettings) -> Option<u64> {
        let since_ms = self.silent_since_ms?;
        (now_ms.saturating_sub(since_ms) > settings.silent_after_ms).then_some(since_ms)
    }

    /// How degraded the worker is.
    pub fn degradation(&self, now_ms: u64, settings: &WorkerHealthSettings) -> Degradation {
        if self.silent_since_ms(now_ms, settings).is_some() {
            return Degradation::Silent;
        }
        let age_ms = now_ms.saturating_sub(self.last_score_ms) as f64;
        let score = self.score * 0.5_f64.powf(age_ms / settings.half_life_ms);
        if score > settings.avoid_above { Degradation::Failing } else { Degradation::None }
    }

    fn decay(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        let age_ms = now_ms.saturating_sub(self.last_score_ms) as f64;
        self.score *= 0.5_f64.powf(age_ms / settings.half_life_ms);
        self.last_score_ms = now_ms;
    }
}
