//! This host's share of the requests that a worker takes from all hosts together.
//!
//! A worker names its limit to each host that gets an answer from it. Hosts don't tell each
//! other what they have sent; each takes turns instead. With `n` hosts and a limit of `r`
//! requests a second a host has one turn every `n / r` seconds, in which it may send one
//! request. Turns are spread by the rank of the host and last long enough that about
//! half of a second's requests may come at once. An unused turn is lost, so that hosts which
//! had no requests can't all send one together. The sum stays below the limit whatever
//! the hosts' clocks show, also for hosts that cannot reach each other.

use std::collections::BTreeMap;

use anvillift_schema::rendezvous;

use crate::cold_share::LimitSharers;
use crate::worker_notices::WorkerStart;

/// Part of the limit that the hosts use together.
const USED_FRACTION: f64 = 0.8;
/// Lowest limit that is planned with, in requests per second. A worker that names 0 still
/// gets a request now and then, whose answer shows when the limit has ended.
const MIN_RATE_PER_S: f64 = 0.05;
/// Hosts that may have their turn at the same time, for each request per second of the
/// limit, and in addition.
const TURNS_PER_RATE: f64 = 0.5;
const MORE_TURNS: f64 = 1.0;
/// Time in which the rate doubles after the limit has ended, in milliseconds.
const RAMP_MS: f64 = 500.0;
/// Rate of one host from which on a limit that has ended is forgotten, in requests per
/// second.
const RAMP_END_PER_S: f64 = 100.0;

/// A limit on the requests of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Time at which an answer showed that it has ended, in milliseconds; `None` while it
    /// holds.
    pub ended_ms: Option<u64>,
}

impl SharedLimit {
    /// Rate to be kept now: after its end it grows from the limit, so that the worker
    /// doesn't get everything at once. It grows in steps, since the turns shift with it.
    fn rate_per_s(&self, now_ms: u64) -> f64 {
        let rate_per_s = self.rate_per_s.max(MIN_RATE_PER_S);
        let Some(ended_ms) = self.ended_ms else { return rate_per_s };
        let steps = (now_ms.saturating_sub(ended_ms) as f64 / RAMP_MS).floor();
        rate_per_s * steps.exp2()
    }

    /// Whether it has ended so long ago that it may be forgotten.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.ended_ms.is_some() && self.rate_per_s(now_ms) > RAMP_END_PER_S
    }
}

/// Turns of this host at one worker.
#[derive(Clone, Copy, Debug)]
struct Turns {
    /// Time between the starts of two turns, in milliseconds.
    cycle_ms: f64,
    /// Length of a turn, in milliseconds.
    length_ms: f64,
    /// Start of the first turn, in milliseconds.
    first_ms: f64,
}

impl Turns {
    fn new(
        now_ms: u64,
        worker: &WorkerStart,
        limit: &SharedLimit,
        sharers: &LimitSharers<'_>,
    ) -> Self {
        let hosts = sharers.count() as f64;
        let rate_per_s = limit.rate_per_s(now_ms) * USED_FRACTION;
        let cycle_ms = hosts / rate_per_s * 1_000.0;
        let turns_at_once = (rate_per_s * TURNS_PER_RATE + MORE_TURNS).min(hosts);
        let key = rendezvous::hash(worker.id.as_bytes());
        let index = sharers.ranked_before(key) as f64;
        Self {
            cycle_ms,
            length_ms: cycle_ms * turns_at_once / hosts,
            first_ms: cycle_ms * index / hosts,
        }
    }

    /// Time until this host may send a request, in milliseconds; 0 if it may now.
    fn wait_ms(&self, now_ms: u64, last_sent_ms: Option<u64>) -> u64 {
        let now_ms = now_ms as f64;
        let phase_ms = (now_ms - self.first_ms).rem_euclid(self.cycle_ms);
        let next_turn_ms = self.cycle_ms - phase_ms;
        let Some(last_sent_ms) = last_sent_ms else {
            return if phase_ms < self.length_ms { 0 } else { next_turn_ms.ceil() as u64 };
        };
        let turn_start_ms = now_ms - phase_ms;
        // Turns shift when the limit or the number of hosts changes.
        let spaced_ms = last_sent_ms as f64 + self.cycle_ms - self.length_ms;
        let is_turn_unused = (last_sent_ms as f64) < turn_start_ms && now_ms >= spaced_ms;
        if phase_ms < self.length_ms && is_turn_unused {
            0
        } else {
            next_turn_ms.ceil().max(1.0) as u64
        }
    }
}

/// The last request that this host has sent to each worker.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    last_sent_ms: BTreeMap<WorkerStart, u64>,
}

impl LimitShare {
    /// Time until this host may send a request to a worker, in milliseconds; 0 if it may
    /// now.
    pub fn wait_ms(
        &self,
        now_ms: u64,
        worker: &WorkerStart,
        limit: &SharedLimit,
        sharers: &LimitSharers<'_>,
    ) -> u64 {
        let turns = Turns::new(now_ms, worker, limit, sharers);
        turns.wait_ms(now_ms, self.last_sent_ms.get(worker).copied())
    }

    /// Time of the last request to a worker, in milliseconds.
    pub fn last_sent_ms(&self, worker: &WorkerStart) -> Option<u64> {
        self.last_sent_ms.get(worker).copied()
    }

    /// Records that a request is sent to a worker.
    pub fn record_sent(&mut self, now_ms: u64, worker: &WorkerStart) {
        self.last_sent_ms.insert(worker.clone(), now_ms);
    }

    /// Keeps only what concerns some workers.
    pub fn retain(&mut self, is_kept: impl Fn(&WorkerStart) -> bool) {
        self.last_sent_ms.retain(|worker, _| is_kept(worker));
    }
}
