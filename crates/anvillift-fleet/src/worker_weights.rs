//! Weights of workers by their speed, which decide how many prefixes each of them caches.
//!
//! Prompts with a long shared prefix go to the worker that a rendezvous hash names, so
//! each worker of a service gets about as many of them as any other, also one that is
//! much slower. A core therefore adds up the speed of the streams that all hosts have seen
//! and gives each worker a weight: its speed as a share of the median of its service.
//! Hosts should compute the same worker for a prefix, so the weights come from the cores,
//! in coarse steps, and a weight changes only when the speed is clearly beyond that step.
//! While cores disagree, hosts may choose different workers for a prefix, which is then
//! computed again. Workers without a recent measurement weigh as much as the median.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetStreamSpeed, FleetWorkerWeight, FleetWorkerWeights};
use anvillift_schema::name::Name;

use crate::worker_table::WorkerTable;

/// Time after which a measurement counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Fewest events, after decay, by which the speed of a worker is known.
const MIN_EVENTS: f64 = 20.0;
/// Shortest time per event, in milliseconds. It keeps the ratio to the median finite.
const MIN_EVENT_MS: f64 = 0.01;
/// Fewest workers of a service whose speeds are compared.
const MIN_WORKERS: usize = 3;
/// The weights that a worker can have, in percent.
const STEPS_PERCENT: [u32; 6] = [25, 35, 50, 70, 100, 140];
/// Smallest factor between the speed and the present weight at which the weight changes. A
/// smaller one would move prefixes, which are then computed again, for little.
const MIN_CHANGE: f64 = 1.3;
/// Weight of a worker whose speed is not known, in percent.
pub const NEUTRAL_PERCENT: u32 = 100;

/// Recent streams of one start of a worker.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    born_ms: u64,
    events: f64,
    elapsed_ms: f64,
    updated_ms: u64,
    weight_percent: u32,
}

impl Measurement {
    fn new(now_ms: u64, born_ms: u64) -> Self {
        Self {
            born_ms,
            events: 0.0,
            elapsed_ms: 0.0,
            updated_ms: now_ms,
            weight_percent: NEUTRAL_PERCENT,
        }
    }

    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        self.events *= kept;
        self.elapsed_ms *= kept;
        self.updated_ms = now_ms;
    }

    /// Time per event in milliseconds, or `None` without enough events.
    fn event_ms(&self) -> Option<f64> {
        (self.events >= MIN_EVENTS).then(|| (self.elapsed_ms / self.events).max(MIN_EVENT_MS))
    }
}

/// A worker whose weight has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightChange {
    /// Id of the worker.
    pub worker: Name,
    /// Weight before, in percent.
    pub from_percent: u32,
    /// Weight now, in percent.
    pub to_percent: u32,
    /// Time per event of its streams, in milliseconds.
    pub event_ms: f64,
    /// Median of its service, in milliseconds.
    pub median_ms: f64,
}

/// Measured speeds and weights of the workers of a fleet, at a core.
#[derive(Clone, Debug, Default)]
pub struct WorkerWeights {
    workers: BTreeMap<Name, Measurement>,
}

impl WorkerWeights {
    /// Adds what a host has measured since its last report. Workers that aren't known are
    /// left out.
    pub fn record(&mut self, now_ms: u64, speeds: &[FleetStreamSpeed], known: &WorkerTable) {
        for speed in speeds {
            let Some(entry) = known.get(&speed.worker) else { continue };
            let born_ms = entry.report.born_ms;
            let new = || Measurement::new(now_ms, born_ms);
            let measurement = self.workers.entry(speed.worker.clone()).or_insert_with(new);
            if measurement.born_ms != born_ms {
                *measurement = new();
            }
            measurement.decay(now_ms);
            measurement.events += speed.events as f64;
            measurement.elapsed_ms += speed.elapsed_ms as f64;
        }
    }

    /// Adjusts the weights to the measured speeds, forgets workers that are gone, and
    /// returns the changes.
    pub fn update(&mut self, now_ms: u64, known: &WorkerTable) -> Vec<WeightChange> {
        self.workers.retain(|worker, measurement| {
            known.get(worker).is_some_and(|entry| entry.report.born_ms == measurement.born_ms)
        });
        let mut by_service: BTreeMap<Name, Vec<(Name, f64)>> = BTreeMap::new();
        for (worker, measurement) in &mut self.workers {
            measurement.decay(now_ms);
            let Some(entry) = known.get(worker) else { continue };
            let Some(event_ms) = measurement.event_ms() else {
                measurement.weight_percent = NEUTRAL_PERCENT;
                continue;
            };
            let measured = by_service.entry(entry.report.service.clone()).or_default();
            measured.push((worker.clone(), event_ms));
        }
        by_service
            .values()
            .filter(|measured| measured.len() >= MIN_WORKERS)
            .flat_map(|measured| self.adjust(measured))
            .collect()
    }

    /// The weights that differ from the neutral one, as they are sent to hosts.
    pub fn report(&self) -> FleetWorkerWeights {
        let differs = |(_, measurement): &(&Name, &Measurement)| {
            measurement.weight_percent != NEUTRAL_PERCENT
        };
        let workers = self.workers.iter().filter(differs).map(|(worker, measurement)| {
            FleetWorkerWeight { worker: worker.clone(), weight_percent: measurement.weight_percent }
        });
        FleetWorkerWeights { workers: workers.collect() }
    }

    fn adjust(&mut self, measured: &[(Name, f64)]) -> Vec<WeightChange> {
        let median_ms = median(measured.iter().map(|(_, event_ms)| *event_ms).collect());
        let mut changes = Vec::new();
        for (worker, event_ms) in measured {
            let Some(measurement) = self.workers.get_mut(worker) else { continue };
            let from_percent = measurement.weight_percent;
            let to_percent = next_weight_percent(from_percent, median_ms / event_ms);
            if to_percent != from_percent {
                measurement.weight_percent = to_percent;
                let (worker, event_ms) = (worker.clone(), *event_ms);
                changes.push(WeightChange {
                    worker,
                    from_percent,
                    to_percent,
                    event_ms,
                    median_ms,
                });
            }
        }
        changes
    }
}

/// The step next to a share of the median speed, or the present one if that is close.
fn next_weight_percent(present_percent: u32, share: f64) -> u32 {
    let distance = |percent: u32| (share * 100.0 / f64::from(percent)).ln().abs();
    if distance(present_percent) < MIN_CHANGE.ln() {
        return present_percent;
    }
    let nearest =
        STEPS_PERCENT.into_iter().min_by(|one, other| distance(*one).total_cmp(&distance(*other)));
    nearest.unwrap_or(present_percent)
}

/// The lower median.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) / 2]
}
