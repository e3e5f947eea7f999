//! Settings and modes of the stand-in engine.

use anvillift_schema::name::Name;
use serde::{Deserialize, Serialize};

use crate::announce::AnnounceSettings;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the upstream.
    pub name: Name,
    /// Service it serves.
    pub service: Name,
    /// Models loaded at start.
    pub models: Vec<Name>,
    /// IP and port to listen on.
    pub listen: String,
    /// Entry hosts to announce to.
    pub announce: AnnounceSettings,
    /// Speeds and sizes of the batch.
    pub batch: BatchSettings,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How far load reports lag.
    pub load_lag_ms: u64,
    /// How far cache events lag.
    pub cache_event_lag_ms: u64,
    /// Share of cache events lost, in thousandths.
    pub cache_event_loss_milli: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether a cut stream can be resumed.
    pub can_resume: bool,
    /// Whether answers carry `usage`.
    pub reports_usage: bool,
    /// Answer tokens when the request names none.
    pub default_answer_tokens: u32,
    /// Seed of losses and failures.
    pub seed: u64,
    /// Mode at start.
    pub mode: EngineMode,
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
            mode: EngineMode::default(),
        }
    }
}

/// Speeds and sizes of an engine's batch.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Largest batch.
    pub max_running_requests: u32,
    /// Requests that may wait; more are answered 503.
    pub max_queued_requests: u32,
    /// Duration of a step with an empty batch.
    pub step_base_us: u64,
    /// Added to a step by each sequence that decodes.
    pub step_per_sequence_us: u64,
    /// Prompt tokens computed a second.
    pub prefill_rate_tokens_per_s: u64,
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk_tokens: u64,
    /// Longest answer.
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

/// How an engine misbehaves; changed while it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineMode {
    /// Duration of steps against normal, in thousandths.
    pub slow_milli: u32,
    /// Share of requests answered 500 at once, in thousandths.
    pub fail_milli: u32,
    /// Streams are cut after this many tokens.
    pub break_after_tokens: Option<u32>,
}

impl Default for EngineMode {
    fn default() -> Self {
        Self { slow_milli: 1000, fail_milli: 0, break_after_tokens: None }
    }
}
