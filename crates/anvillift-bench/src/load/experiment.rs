//! Description of an experiment: regions, services, workers and request classes.
//!
//! It also derives the capacity of the workers and the request rate of each class.

use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::name::Name;

use crate::engine::BatchSettings;
use crate::fleet::relay::LinkDirectionSettings;

const MICROS_PER_S: f64 = 1e6;

/// Complete description of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Experiment {
    /// Name of the experiment, usually of the user whose load it models.
    pub name: Name,
    /// Seeds of the plans; each policy runs once with each seed.
    pub seeds: Vec<u64>,
    /// Duration of the load before measuring starts, in seconds.
    pub warm_up_s: u64,
    /// Duration of the measured load, in seconds.
    pub duration_s: u64,
    /// Load relative to the capacity of the workers, in thousandths.
    pub load_milli: u64,
    /// Regions in which hosts run and requests arrive.
    pub regions: Vec<Region>,
    /// Delay and data rate between each pair of regions, the same in both directions.
    pub link: LinkDirectionSettings,
    /// Services that requests are sent to.
    pub services: Vec<Service>,
    /// Classes of requests, each with its own rate.
    pub classes: Vec<Class>,
    /// Stand-in upstreams to start, by service and region.
    pub workers: Vec<Workers>,
}

/// Region of an experiment, with one data centre.
#[derive(Clone, Debug, Default)]
pub struct Region {
    /// Region name in the experiment file.
    pub name: Name,
    /// Name of the region's only data centre.
    pub data_centre: Name,
    /// Number of entry hosts.
    pub hosts: u32,
    /// Share of all requests that arrive in this region, in thousandths.
    pub share_milli: u32,
}

/// Service of an experiment, with its profile.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service name in request paths.
    pub name: Name,
    /// Kind of upstream that serves it.
    pub kind: ServiceKind,
    /// Profile by which hosts treat its requests.
    pub profile: Profile,
}

/// Group of identical workers of a service in a region.
#[derive(Clone, Debug)]
pub struct Workers {
    /// Name of the service that they serve.
    pub service: Name,
    /// Name of the region in which they run.
    pub region: Name,
    /// Number of workers.
    pub count: u32,
    /// Speeds and limits of each worker; unused for plain services.
    pub batch: BatchSettings,
    /// Capacity of each worker's prefix cache, in blocks.
    pub cache_blocks: usize,
}

/// Kind of request, which decides its form and how its answer is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::FromStr)]
pub enum ClassKind {
    /// Model request with a long prompt whose history several requests share.
    Dossier,
    /// Model request with a short prompt.
    Question,
    /// Plain request that is not idempotent and has an idempotency key.
    Command,
    /// Plain request that is idempotent.
    Reading,
}

/// Class of requests with the same rate, lengths and deadline.
#[derive(Clone, Debug)]
pub struct Class {
    /// Class name in the experiment file and in results.
    pub name: Name,
    /// Form of the requests of this class.
    pub kind: ClassKind,
    /// Name of the service that requests are sent to.
    pub service: Name,
    /// Share of the service's requests, in thousandths.
    pub share_milli: u32,
    /// Request rate over all regions, in thousandths of a request per second; 0 when it
    /// follows from `share_milli` and the capacity of the workers.
    pub rate_milli_per_s: u64,
    /// Number of different histories that requests share.
    pub histories: u32,
    /// Length of a history in tokens.
    pub history_tokens: u64,
    /// Length of the prompt after the history, in tokens.
    pub question_tokens: u64,
    /// Requested length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Part of the history that is expected in a cache, in thousandths; used to compute
    /// the capacity.
    pub cached_milli: u64,
    /// Deadline sent with the request, in milliseconds.
    pub deadline_ms: u64,
}

impl Experiment {
    /// Capacity of the workers of a model service, in requests per second.
    ///
    /// It assumes full batches, whose sequences share the base duration of a step, and
    /// prefill of all prompt tokens that are not expected in a cache.
    pub fn capacity_per_s(&self, service: &Name) -> f64 {
        let workers = self.workers.iter().filter(|workers| workers.service == *service);
        workers
            .map(|workers| {
                let cost_us = self.mean_cost_us(service, &workers.batch);
                f64::from(workers.count) * MICROS_PER_S / cost_us
            })
            .sum()
    }

    /// Rate of a class over all regions at the experiment's load, in requests per
    /// second.
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
    /// Worker time of a request in a full batch, in microseconds.
    ///
    /// The request occupies its slot during prefill, too, so prefill steps count like
    /// decoding steps.
    fn cost_us(&self, batch: &BatchSettings) -> f64 {
        let batch_size = f64::from(batch.max_running_requests);
        let token_us = batch.step_base_us as f64 / batch_size + batch.step_per_sequence_us as f64;
        let cached_tokens = self.history_tokens * self.cached_milli / 1000;
        let computed_tokens = self.history_tokens + self.question_tokens - cached_tokens;
        let prefill_us =
            computed_tokens as f64 * MICROS_PER_S / batch.prefill_rate_tokens_per_s as f64;
        let prefill_steps = computed_tokens as f64 / batch.prefill_chunk_tokens as f64;
        (f64::from(self.answer_tokens) + prefill_steps) * token_us + prefill_us
    }
}
