//! How slow each worker is, as seen by this host: the time to the first byte of its
//! answers relative to the usual time of the service for requests of that size.
//!
//! A sample is normalised by the work of its own request, so that a long prompt is not
//! mistaken for a slow worker. The usual time is kept by route and size of the prompt.
//! Only answers that a worker served count: fast failures and rejections would make it
//! look fast. Without answers an estimate fades towards the average of the service, so
//! that a worker that has recovered gets requests again and one that is avoided is
//! neither rewarded nor forgotten.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::choose;
use crate::prompt::Prompt;
use crate::worker_notices::WorkerStart;

/// Weight of the newest answer in the moving average of a worker.
const NEWEST_WEIGHT: f64 = 0.35;
/// Time after which a share of 1/e is left of the deviation of an estimate, in
/// milliseconds. Workers pause for some hundred milliseconds; with 2,000 ms fewer
/// requests were in time in a simulation of equal workers.
const FADE_MS: f64 = 1_000.0;
/// Range of one sample. A single outlier must not decide for seconds.
const SAMPLE_RANGE: std::ops::RangeInclusive<f64> = 0.1..=10.0;
/// Weight of the newest answer in the usual time.
const USUAL_WEIGHT: f64 = 0.1;
/// Change of an estimate since it was last reported that is reported, as a factor.
const REPORTED_CHANGE: f64 = 1.5;
/// Shortest time between two reported changes of this host, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;

/// Route and size of a prompt, within which the time to the first byte is comparable.
/// The size is its number of binary digits; a prompt whose prefix may be cached has a
/// size class of its own.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SizeClass {
    route: Name,
    token_digits: u32,
    has_affinity: bool,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Relative time to the first byte, as of `sampled_ms`.
    slowness: f64,
    sampled_ms: u64,
    /// What was last reported of it.
    reported: f64,
}

impl Estimate {
    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.sampled_ms) as f64;
        1.0 + (self.slowness - 1.0) * (-age_ms / FADE_MS).exp()
    }
}

/// A change of an estimate that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// What was last reported.
    pub previous: f64,
    /// The estimate now.
    pub slowness: f64,
    /// Usual time to the first byte of such a request, in milliseconds.
    pub usual_ms: f64,
    /// Age of the previous sample, in milliseconds; `None` for the first one.
    pub previous_age_ms: Option<u64>,
}

/// Estimates by start of a worker. Memory is bounded by the workers and routes known,
/// see [`retain_workers`](Self::retain_workers) and [`retain_routes`](Self::retain_routes).
#[derive(Clone, Debug, Default)]
pub struct WorkerSpeeds {
    estimates: BTreeMap<WorkerStart, Estimate>,
    usual_ms: BTreeMap<SizeClass, f64>,
    last_report_ms: Option<u64>,
}

impl WorkerSpeeds {
    /// Records that a worker began to answer a request after `first_ms`. Returns a
    /// change of its estimate that is worth a log line.
    pub fn record(
        &mut self,
        now_ms: u64,
        worker: &WorkerStart,
        route: &Name,
        prompt: &Prompt,
        first_ms: u64,
    ) -> Option<SpeedChange> {
        let sample_ms = first_ms.max(1) as f64;
        let usual_ms = self.update_usual_ms(route, prompt, sample_ms);
        let sample = (sample_ms / usual_ms).clamp(*SAMPLE_RANGE.start(), *SAMPLE_RANGE.end());
        let is_due = self.last_report_ms.is_none_or(|ms| ms + MIN_REPORT_INTERVAL_MS <= now_ms);
        let unknown = Estimate { slowness: 1.0, sampled_ms: now_ms, reported: 1.0 };
        let previous_age_ms =
            self.estimates.get(worker).map(|estimate| now_ms.saturating_sub(estimate.sampled_ms));
        let estimate = self.estimates.entry(worker.clone()).or_insert(unknown);
        let average = estimate.at(now_ms);
        let slowness = average + (sample - average) * NEWEST_WEIGHT;
        let previous = estimate.reported;
        (estimate.slowness, estimate.sampled_ms) = (slowness, now_ms);
        if !is_due || (slowness / previous).max(previous / slowness) < REPORTED_CHANGE {
            return None;
        }
        estimate.reported = slowness;
        self.last_report_ms = Some(now_ms);
        Some(SpeedChange { previous, slowness, usual_ms, previous_age_ms })
    }

    /// Usual time for such a request before this sample, in milliseconds.
    fn update_usual_ms(&mut self, route: &Name, prompt: &Prompt, sample_ms: f64) -> f64 {
        let class = SizeClass {
            route: route.clone(),
            token_digits: u64::BITS - prompt.input_tokens.leading_zeros(),
            has_affinity: choose::has_affinity(prompt),
        };
        let usual = self.usual_ms.entry(class).or_insert(sample_ms);
        let usual_ms = *usual;
        *usual += (sample_ms - usual_ms) * USUAL_WEIGHT;
        usual_ms
    }

    /// Time to the first byte of a worker relative to the usual one; 1 if nothing is known.
    pub fn slowness(&self, now_ms: u64, worker: &WorkerStart) -> f64 {
        self.estimates.get(worker).map_or(1.0, |estimate| estimate.at(now_ms))
    }

    /// The worker starts that have an estimate, each with its value.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&WorkerStart, f64)> {
        self.estimates.iter().map(move |(worker, estimate)| (worker, estimate.at(now_ms)))
    }

    /// Drops the estimates of workers for which `is_current` is false.
    pub fn retain_workers(&mut self, is_current: impl Fn(&WorkerStart) -> bool) {
        self.estimates.retain(|worker, _| is_current(worker));
    }

    /// Drops the usual times of routes for which `is_configured` is false.
    pub fn retain_routes(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.usual_ms.retain(|class, _| is_configured(&class.route));
    }
}
