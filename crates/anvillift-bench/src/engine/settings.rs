//! Settings of the stand-in engine, fixed at start, and its faults, which tests change
//! while it runs.

use anvillift_schema::name::Name;
use serde::{Deserialize, Serialize};

use crate::announce::AnnounceSettings;

/// Identity, address, speeds and reporting faults of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Upstream name in announcements.
    pub name: Name,
    /// Name of the service that it serves.
    pub service: Name,
    /// Names of the models that are loaded at start.
    pub models: Vec<Name>,
    /// IP address and port to listen on; port 0 lets the system choose.
    pub listen: String,
    /// Entry hosts to announce to, and the key and interval.
    pub announce: AnnounceSettings,
    /// Speeds and sizes of the batch.
    pub batch: BatchSettings,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age of the load samples that are announced, in milliseconds.
    pub load_lag_ms: u64,
    /// Minimum age of cache events that are announced, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of cache events lost, in thousandths.
    pub cache_event_loss_milli: u32,
    /// Whether orders with a lower fencing number than an earlier one are refused.
    pub checks_fencing: bool,
    /// Whether an interrupted stream can be resumed at an offset.
    pub can_resume: bool,
    /// Whether answers carry `usage`.
    pub reports_usage: bool,
    /// Length of the answer in tokens when the request has no `max_tokens`.
    pub default_answer_tokens: u32,
    /// Seed of the random choice of lost cache events and failed requests.
    pub seed: u64,
    /// Simulated faults at start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: Name::from("engine"),
            service: Name::from("model"),
            models: vec![Name::from("stand-in")],
            listen: "127.0.0.1:0".to_owned(),
            announce: AnnounceSettings::default(),
            batch: BatchSettings::default(),
            cache_blocks: 512,
            load_lag_ms: 300,
            cache_event_lag_ms: 500,
            cache_event_loss_milli: 50,
            checks_fencing: true,
            can_resume: true,
            reports_usage: true,
            default_answer_tokens: 32,
            seed: 1,
            faults: EngineFaults::default(),
        }
    }
}

/// Speeds and limits of an engine's batch.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Largest number of sequences in the batch.
    pub max_running_requests: u32,
    /// Length limit of the queue; further requests are answered with status 503.
    pub max_queued_requests: u32,
    /// Duration of a step without decoding sequences, in microseconds.
    pub step_base_us: u64,
    /// Time that each decoding sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Prompt tokens computed per second.
    pub prefill_rate_tokens_per_s: u64,
    /// Largest number of prompt tokens computed in one step.
    pub prefill_chunk_tokens: u64,
    /// Upper limit on the length of an answer, in tokens.
    pub max_answer_tokens: u32,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            max_running_requests: 16,
            max_queued_requests: 4096,
            step_base_us: 15_000,
            step_per_sequence_us: 500,
            prefill_rate_tokens_per_s: 20_000,
            prefill_chunk_tokens: 256,
            max_answer_tokens: 65_536,
        }
    }
}

/// Simulated faults of an engine, which can be changed while it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Duration of steps relative to normal, in thousandths.
    pub slow_milli: u32,
    /// Share of requests answered with status 500 at once, in thousandths.
    pub fail_milli: u32,
    /// Number of tokens after which an answer is interrupted; `None` for never.
    pub break_after_tokens: Option<u32>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self { slow_milli: 1000, fail_milli: 0, break_after_tokens: None }
    }
}
