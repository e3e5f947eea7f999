//! `anvillift-bench engine`: runs a stand-in model engine as a process.

use anvillift_bench::engine::{self, BatchSettings, EngineFaults, EngineSettings};
use anvillift_bench::error::BenchError;
use anvillift_schema::name::Name;

/// Run a stand-in model engine until SIGTERM.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineCommand {
    /// name of the upstream
    #[argh(option)]
    name: String,
    /// name of the service that it serves
    #[argh(option)]
    service: String,
    /// base URLs of entry hosts, comma separated
    #[argh(option)]
    announce: String,
    /// upstream key
    #[argh(option)]
    key: String,
    /// IP address and port to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// models loaded, comma separated
    #[argh(option, default = "String::from(\"stand-in\")")]
    models: String,
    /// largest number of requests in a batch
    #[argh(option, default = "BatchSettings::default().max_running_requests")]
    max_running_requests: u32,
    /// duration of a step without decoding sequences, in microseconds
    #[argh(option, default = "BatchSettings::default().step_base_us")]
    step_base_us: u64,
    /// time that each decoding sequence adds to a step, in microseconds
    #[argh(option, default = "BatchSettings::default().step_per_sequence_us")]
    step_per_sequence_us: u64,
    /// prompt tokens computed per second
    #[argh(option, default = "BatchSettings::default().prefill_rate_tokens_per_s")]
    prefill_rate_tokens_per_s: u64,
    /// blocks of 256 tokens that the prefix cache holds
    #[argh(option, default = "EngineSettings::default().cache_blocks")]
    cache_blocks: usize,
    /// lag of load reports, in milliseconds
    #[argh(option, default = "EngineSettings::default().load_lag_ms")]
    load_lag_ms: u64,
    /// lag of cache events, in milliseconds
    #[argh(option, default = "EngineSettings::default().cache_event_lag_ms")]
    cache_event_lag_ms: u64,
    /// share of cache events lost, in thousandths
    #[argh(option, default = "EngineSettings::default().cache_event_loss_milli")]
    cache_event_loss_milli: u32,
    /// duration of steps relative to normal, in thousandths
    #[argh(option, default = "EngineFaults::default().slow_milli")]
    slow_milli: u32,
    /// share of requests answered with status 500, in thousandths
    #[argh(option, default = "0")]
    fail_milli: u32,
    /// interrupt answers after this many tokens
    #[argh(option)]
    break_after_tokens: Option<u32>,
    /// accept orders with a lower fencing number than an earlier one
    #[argh(switch)]
    ignore_fencing: bool,
    /// do not resume interrupted streams
    #[argh(switch)]
    no_resume: bool,
    /// leave `usage` out of answers
    #[argh(switch)]
    no_usage: bool,
}

impl EngineCommand {
    /// Prints the engine's name and URL, and serves until a stop signal.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        let name = self.name.clone();
        let running = engine::start(self.into_settings()).await?;
        super::print_line(&format!("{name} http://{}", running.addr));
        super::wait_for_stop_signal().await;
        running.stop().await;
        Ok(())
    }

    fn into_settings(self) -> EngineSettings {
        EngineSettings {
            name: Name::from(self.name),
            service: Name::from(self.service),
            models: self.models.split(',').map(Name::from).collect(),
            listen: self.listen,
            announce: super::announce_settings(&self.announce, self.key),
            batch: BatchSettings {
                max_running_requests: self.max_running_requests,
                step_base_us: self.step_base_us,
                step_per_sequence_us: self.step_per_sequence_us,
                prefill_rate_tokens_per_s: self.prefill_rate_tokens_per_s,
                ..BatchSettings::default()
            },
            cache_blocks: self.cache_blocks,
            load_lag_ms: self.load_lag_ms,
            cache_event_lag_ms: self.cache_event_lag_ms,
            cache_event_loss_milli: self.cache_event_loss_milli,
            checks_fencing: !self.ignore_fencing,
            can_resume: !self.no_resume,
            reports_usage: !self.no_usage,
            faults: EngineFaults {
                slow_milli: self.slow_milli,
                fail_milli: self.fail_milli,
                break_after_tokens: self.break_after_tokens,
            },
            ..EngineSettings::default()
        }
    }
}
