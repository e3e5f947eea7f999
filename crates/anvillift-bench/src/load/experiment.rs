//! What an experiment consists of.

use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::name::Name;

use crate::engine::BatchSettings;
use crate::fleet::relay::PipeSettings;

const MICROS_PER_S: f64 = 1e6;

/// A whole experiment.
#[derive(Clone, Debug, Default)]
pub struct Experiment {
    /// Name of the user whose load it is.
    pub name: Name,
    /// Seeds; each policy runs on each.
    pub seeds: Vec<u64>,
    /// Load before measuring starts.
    pub warm_up_s: u64,
    /// Measured load.
    pub duration_s: u64,
    /// Load against capacity, in thousandths.
    pub load_milli: u64,
    /// Regions.
    pub regions: Vec<Region>,
    /// Every pair of regions, in each direction.
    pub link: PipeSettings,
    /// Services.
    pub services: Vec<Service>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Workers of model services.
    pub workers: Vec<Workers>,
}

/// A region with its data centre.
#[derive(Clone, Debug, Default)]
pub struct Region {
    /// Name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Entry hosts.
    pub hosts: u32,
    /// Share of all arrivals, in thousandths.
    pub share_milli: u32,
}

/// A service and how it is treated.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// How its requests are treated.
    pub profile: Profile,
}

/// Workers of a service in a region.
#[derive(Clone, Debug)]
pub struct Workers {
    /// Service.
    pub service: Name,
    /// Region.
    pub region: Name,
    /// How many.
    pub count: u32,
    /// Speeds of each.
    pub batch: BatchSettings,
    /// Blocks that the cache of each holds.
    pub cache_blocks: usize,
}

/// What kind of request a class is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::FromStr)]
pub enum ClassKind {
    /// Long prompt with a history shared by several requests.
    Dossier,
    /// Short prompt.
    Question,
    /// Not idempotent, with an idempotency key.
    Command,
    /// Idempotent.
    Reading,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: Name,
    /// Kind.
    pub kind: ClassKind,
    /// Service asked.
    pub service: Name,
    /// Share of the service's requests, in thousandths.
    pub share_milli: u32,
    /// Requests a second over all regions; 0 for shares of model capacity.
    pub rate_milli_per_s: u64,
    /// Histories known; requests share them.
    pub histories: u32,
    /// Length of a history.
    pub history_tokens: u64,
    /// Length of what follows the history.
    pub question_tokens: u64,
    /// Length of the answer.
    pub answer_tokens: u32,
    /// Part of the history expected in a cache, in thousandths.
    pub cached_milli: u64,
    /// Deadline told with the request.
    pub deadline_ms: u64,
}

impl Experiment {
    /// Requests a second that the workers of a model service can answer.
    ///
    /// A full batch shares the base duration of a step; prompt tokens not
    /// expected in a cache are computed.
    pub fn capacity_per_s(&self, service: &Name) -> f64 {
        let workers = self.workers.iter().filter(|workers| workers.service == *service);
        workers
            .map(|workers| {
                let cost_us = self.mean_cost_us(service, &workers.batch);
                f64::from(workers.count) * MICROS_PER_S / cost_us
            })
            .sum()
    }

    /// Requests a second of a class over all regions, at the experiment's load.
    pub fn rate_per_s(&self, class: &Class) -> f64 {
        let load = self.load_milli as f64 / 1000.0;
        if class.rate_milli_per_s > 0 {
            return class.rate_milli_per_s as f64 / 1000.0;
        }
        self.capacity_per_s(&class.service) * load * f64::from(class.share_milli) / 1000.0
    }

    fn mean_cost_us(&self, service: &Name, batch: &BatchSettings) -> f64 {
        let classes = self.classes.iter().filter(|class| class.service == *service);
        classes
            .map(|class| f64::from(class.share_milli) / 1000.0 * class.cost_us(batch))
            .sum::<f64>()
            .max(1.0)
    }
}

impl Class {
    /// Worker time that a request takes in a full batch; it holds its slot while
    /// its prompt is computed, too.
    fn cost_us(&self, batch: &BatchSettings) -> f64 {
        let full = f64::from(batch.max_running_requests);
        let token_us = batch.step_base_us as f64 / full + batch.step_per_sequence_us as f64;
        let cached_tokens = self.history_tokens * self.cached_milli / 1000;
        let computed_tokens = self.history_tokens + self.question_tokens - cached_tokens;
        let prefill_us =
            computed_tokens as f64 * MICROS_PER_S / batch.prefill_rate_tokens_per_s as f64;
        let prefill_steps = computed_tokens as f64 / batch.prefill_chunk_tokens as f64;
        (f64::from(self.answer_tokens) + prefill_steps) * token_us + prefill_us
    }
}
