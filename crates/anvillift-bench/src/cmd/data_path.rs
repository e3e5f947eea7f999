//! `anvillift-bench data-path`: measures the latency that a host adds to tokens
//! and short requests.

use anvillift_bench::data_path::{self, DataPathSettings};
use anvillift_bench::error::BenchError;

/// Measure the latency that one host adds over asking the stand-in directly.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "data-path")]
pub(crate) struct DataPathCommand {
    /// number of concurrent streams
    #[argh(option, default = "DataPathSettings::default().streams")]
    streams: u32,
    /// length of each stream, in tokens
    #[argh(option, default = "DataPathSettings::default().stream_tokens")]
    stream_tokens: u32,
}

impl DataPathCommand {
    /// Measures, then prints the figures and the number of failed requests.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        let settings =
            DataPathSettings { streams: self.streams, stream_tokens: self.stream_tokens };
        let outcome = data_path::run(&settings).await?;
        outcome.lines().iter().for_each(|line| super::print_line(line));
        for (kind, count) in outcome.failures() {
            if count > 0 {
                super::print_line(&format!("incomplete answers, {kind}: {count}"));
            }
        }
        Ok(())
    }
}
