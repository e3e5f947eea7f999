//! Ranks the workers that may take a request.
//!
//! Healthy workers come before degraded ones, and warm ones before cold ones.
//! Within such a group, a prompt with a long shared prefix goes to the worker that
//! probably has the prefix cached: its affinity key, from
//! [`PrefixCounts`](crate::PrefixCounts), ranks the workers by a rendezvous hash,
//! which all hosts compute identically, and the first of the ranking that is not
//! much busier than the others is taken. Any other request goes to the least
//! loaded of the workers that this host prefers.
//!
//! The relative latency of a worker is the latency of its answers as a multiple of
//! the usual latency, from [`WorkerSpeeds`](crate::WorkerSpeeds). The load of a worker is
//! what it has in flight, scaled by its relative latency: where many hosts share a worker,
//! each of them has few requests there, so the count alone does not reveal that it is
//! slow or fast. A cached prefix yields only to a clearly slower worker.

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::in_flight::InFlight;
use crate::prompt::Prompt;
use crate::worker_weights::NEUTRAL_PERCENT;

/// Shortest shared prefix that goes to the worker that has it cached, in tokens. A
/// shorter one is cheaper to compute again.
const MIN_AFFINITY_TOKENS: u64 = 1_000;
/// Load above the least loaded candidate up to which the cached prefix decides, in batches.
const MAX_AFFINITY_EXCESS_LOAD: f64 = 0.25;
/// Prompt tokens that count as much as a full batch of requests.
const TOKENS_PER_BATCH: f64 = 60_000.0;

/// Factor up to which a relative latency counts as the usual one. Estimates of equal
/// workers differ by chance.
const USUAL_LATENCY_FACTOR: f64 = 1.25;
/// Multiple of the usual latency up to which a worker keeps the prompts whose prefix it
/// has cached. Estimates vary by more than 1.25 within a second, and a prefix that moves
/// is computed again.
const MAX_AFFINITY_LATENCY: f64 = 1.5;

/// Whether the shared prefix of a prompt is long enough to choose a worker by its cache.
pub fn has_affinity(prompt: &Prompt) -> bool {
    prompt.shared_tokens() >= MIN_AFFINITY_TOKENS
}

/// The worker, of the whole fleet, that most probably has the prefix with this
/// affinity key cached. `None` if there are no workers.
pub fn affinity_worker<'a>(
    workers: impl Iterator<Item = &'a Name>,
    affinity_key: u64,
    weight_percent: impl Fn(&Name) -> u32,
) -> Option<&'a Name> {
    let rank = |worker: &Name| weighted_rank(affinity_key, worker, weight_percent(worker));
    workers.max_by(|one, other| rank(one).total_cmp(&rank(other)))
}

/// Rank of a worker for an affinity key: of many keys each worker is first for a share in
/// proportion to its weight. With equal weights the order is that of [`rendezvous::rank`].
fn weighted_rank(affinity_key: u64, worker: &str, weight_percent: u32) -> f64 {
    let rank = rendezvous::rank(affinity_key, worker) as f64;
    let uniform = (rank + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln() / f64::from(weight_percent.max(1))
}

/// How degraded a worker is; candidates with a lower value are preferred.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, derive_more::Display)]
pub enum Degradation {
    /// The worker is healthy.
    #[default]
    #[display("none")]
    None,
    /// Many recent requests to the worker failed.
    #[display("failing")]
    Failing,
    /// The worker has requests and sends no bytes.
    #[display("silent")]
    Silent,
}

/// A worker that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the worker.
    pub worker: Name,
    /// Requests of this host that are in flight there.
    pub in_flight: InFlight,
    /// Most requests that it runs at once.
    pub slots: u64,
    /// Whether it is cold, as after a start or a time without requests, and takes
    /// fewer requests for now.
    pub is_cold: bool,
    /// How degraded it is.
    pub degradation: Degradation,
    /// Whether it belongs to the workers for prompts of this size.
    pub is_in_pool: bool,
    /// Whether it belongs to the subset of workers that this host prefers.
    pub is_preferred: bool,
    /// Latency of its answers as a multiple of the usual latency.
    pub relative_latency: f64,
    /// Its speed as a share of the median of its service, in percent.
    pub weight_percent: u32,
}

impl Default for Candidate {
    fn default() -> Self {
        Self {
            worker: Name::default(),
            in_flight: InFlight::default(),
            slots: 0,
            is_cold: false,
            degradation: Degradation::None,
            is_in_pool: true,
            is_preferred: false,
            relative_latency: 1.0,
            weight_percent: NEUTRAL_PERCENT,
        }
    }
}

impl Candidate {
    /// Load in batches after one more request.
    fn next_load(&self) -> f64 {
        load(&self.in_flight, self.slots) + 1.0 / self.slots.max(1) as f64
    }

    /// Load after one more request, scaled by the relative latency.
    fn scaled_load(&self) -> f64 {
        let is_usual = self.relative_latency < USUAL_LATENCY_FACTOR
            && self.relative_latency > 1.0 / USUAL_LATENCY_FACTOR;
        self.next_load() * if is_usual { 1.0 } else { self.relative_latency }
    }

    /// Load after one more request for a prompt whose prefix may be cached.
    fn affinity_load(&self) -> f64 {
        self.next_load() * (self.relative_latency / MAX_AFFINITY_LATENCY).max(1.0)
    }
}

/// Load of requests in flight, in batches of `slots` requests.
pub fn load(in_flight: &InFlight, slots: u64) -> f64 {
    in_flight.requests as f64 / slots.max(1) as f64 + token_load(in_flight.unprocessed_tokens)
}

/// Load of prompt tokens that have to be processed, in batches.
pub fn token_load(tokens: u64) -> f64 {
    tokens as f64 / TOKENS_PER_BATCH
}

/// Sorts the candidates, the best first. `affinity_key` is that of the prompt, if its
/// cached prefix decides; `draw` breaks ties.
pub fn order(candidates: &mut [Candidate], affinity_key: Option<u64>, draw: u64) {
    let rank = |candidate: &Candidate, key: u64| rendezvous::rank(key, &candidate.worker);
    candidates.sort_by(|left, right| {
        let avoidance = |candidate: &Candidate| {
            let is_not_preferred = !candidate.is_preferred && affinity_key.is_none();
            let is_outside_pool = !candidate.is_in_pool;
            (candidate.degradation, candidate.is_cold, is_outside_pool, is_not_preferred)
        };
        let load = |candidate: &Candidate| match affinity_key {
            Some(_) => candidate.affinity_load(),
            None => candidate.scaled_load(),
        };
        let by_load = load(left).total_cmp(&load(right));
        let tie = rank(left, draw).cmp(&rank(right, draw));
        avoidance(left).cmp(&avoidance(right)).then(by_load).then(tie)
    });
    let Some(affinity_key) = affinity_key else { return };
    let Some(first) = candidates.first() else { return };
    let group =
        |candidate: &Candidate| (candidate.degradation, candidate.is_cold, candidate.is_in_pool);
    let (first_group, least_load) = (group(first), first.affinity_load());
    let group_length = candidates.iter().take_while(|other| group(other) == first_group).count();
    let within_load_limit = candidates[..group_length]
        .iter()
        .take_while(|other| other.affinity_load() <= least_load + MAX_AFFINITY_EXCESS_LOAD)
        .count();
    let affinity_rank = |index: &usize| {
        let candidate = &candidates[*index];
        weighted_rank(affinity_key, &candidate.worker, candidate.weight_percent)
    };
    let affinity_index = (0..within_load_limit)
        .max_by(|one, other| affinity_rank(one).total_cmp(&affinity_rank(other)));
    if let Some(index) = affinity_index {
        candidates[..=index].rotate_right(1);
    }
}
