//! How a worker has behaved lately, as seen by this host.
//!
//! A worker may fail, shed or fall silent while it calls itself ready. Each
//! outcome moves a score that decays with time; a worker with requests out and
//! no sign of life counts as silent until a byte arrives from it.

use crate::choose::Trouble;

/// Weight of the newest answer in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;
/// Share of failures that is the worker's rather than the requests'.
const FAILING_SHARE: f64 = 0.28;

/// Weight of the newest answer in the pace.
const PACE_WEIGHT: f64 = 0.2;
/// Largest multiple of the usual time that one answer counts for.
const MAX_PACE: f64 = 10.0;
/// Time in which half of what is known of a pace is forgotten, in milliseconds.
const PACE_HALF_LIFE_MS: f64 = 4_000.0;

/// Settings of a [`WorkerHealth`].
#[derive(Clone, Debug)]
pub struct WorkerHealthSettings {
    /// Time without a byte, with requests out, after which a worker is silent,
    /// in milliseconds.
    pub silent_after_ms: u64,
    /// Score above which a worker is avoided.
    pub avoid_above: f64,
    /// Time in which a score halves, in milliseconds.
    pub half_life_ms: f64,
}

impl Default for WorkerHealthSettings {
    fn default() -> Self {
        Self { silent_after_ms: 1_500, avoid_above: 1.5, half_life_ms: 2_000.0 }
    }
}

/// Behaviour of one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    score: f64,
    scored_ms: u64,
    heard_ms: u64,
    waiting_since_ms: Option<u64>,
    waiting: u32,
    /// Share of failures of its own among its latest answers.
    failing_share: f64,
    /// What its answers take beyond the usual, as a multiple of that.
    excess_pace: f64,
    paced_ms: u64,
}

impl WorkerHealth {
    /// A request was sent.
    pub fn sent(&mut self, now_ms: u64) {
        self.waiting += 1;
        self.waiting_since_ms.get_or_insert(now_ms);
    }

    /// Bytes arrived.
    pub fn heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        if self.waiting > 0 {
            self.waiting_since_ms = Some(now_ms);
        }
    }

    /// A request ended, whatever came of it.
    pub fn ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.waiting_since_ms = None;
        }
    }

    /// A request was answered well.
    pub fn succeeded(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        self.decay(now_ms, settings);
        self.score *= 0.7;
    }

    /// A request failed, was shed or never answered.
    pub fn failed(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        self.decay(now_ms, settings);
        self.score += 1.0;
    }

    /// The worker answered, with a failure of its own or not.
    pub fn answered(&mut self, is_failure: bool) {
        let newest = f64::from(u8::from(is_failure));
        self.failing_share += (newest - self.failing_share) * NEWEST_WEIGHT;
    }

    /// An answer began after a multiple of what such answers usually take.
    pub fn paced(&mut self, now_ms: u64, multiple: f64) {
        let known = self.pace(now_ms);
        let pace = known + (multiple.min(MAX_PACE) - known) * PACE_WEIGHT;
        self.excess_pace = pace - 1.0;
        self.paced_ms = now_ms;
    }

    /// What its answers take, as a multiple of what they usually take.
    pub fn pace(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.paced_ms) as f64;
        1.0 + self.excess_pace * 0.5_f64.powf(age_ms / PACE_HALF_LIFE_MS)
    }

    /// Whether the worker fails so often that another is likely to do better.
    /// Some requests fail wherever they run; asking again helps none of them.
    pub fn fails_by_itself(&self) -> bool {
        self.failing_share > FAILING_SHARE
    }

    /// How much the worker is to be avoided.
    pub fn trouble(&self, now_ms: u64, settings: &WorkerHealthSettings) -> Trouble {
        let quiet_ms = self.waiting_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        if quiet_ms > settings.silent_after_ms {
            return Trouble::Silent;
        }
        let age_ms = now_ms.saturating_sub(self.scored_ms) as f64;
        let score = self.score * 0.5_f64.powf(age_ms / settings.half_life_ms);
        if score > settings.avoid_above { Trouble::Failing } else { Trouble::None }
    }

    fn decay(&mut self, now_ms: u64, settings: &WorkerHealthSettings) {
        let age_ms = now_ms.saturating_sub(self.scored_ms) as f64;
        self.score *= 0.5_f64.powf(age_ms / settings.half_life_ms);
        self.scored_ms = now_ms;
    }
}
