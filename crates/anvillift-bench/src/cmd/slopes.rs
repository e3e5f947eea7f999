//! `anvillift-bench slopes`: measures the cost of idle daemons by size of the
//! system.

use std::env;
use std::path::PathBuf;

use anvillift_bench::error::BenchError;
use anvillift_bench::slopes::{self, SlopeSettings};

/// Measure idle daemons at several sizes of the system.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct SlopesCommand {
    /// path of the daemon's binary; `anvilliftd` in the folder of this program when absent
    #[argh(option)]
    daemon: Option<PathBuf>,
    /// numbers of daemons to measure, comma separated
    #[argh(option, default = "String::from(\"8,24,72\")")]
    sizes: String,
    /// wait before the measured window, in seconds
    #[argh(option, default = "SlopeSettings::default().settle_s")]
    settle_s: u64,
    /// length of the measured window, in seconds
    #[argh(option, default = "SlopeSettings::default().window_s")]
    window_s: u64,
}

impl SlopesCommand {
    /// Measures each size and prints a Markdown table with one row per size.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        let settings = SlopeSettings {
            daemon: self.daemon.unwrap_or_else(default_daemon_path),
            sizes: self.sizes.split(',').filter_map(|size| size.trim().parse().ok()).collect(),
            settle_s: self.settle_s,
            window_s: self.window_s,
            ..SlopeSettings::default()
        };
        super::print_line(
            "| daemons | data centres | CPU % mean | CPU % max | RSS MiB mean | RSS MiB max | sent KiB/s mean |",
        );
        super::print_line("|---|---|---|---|---|---|---|");
        for row in slopes::run(&settings).await? {
            super::print_line(&format!(
                "| {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.2} |",
                row.daemons,
                row.data_centres,
                row.cpu_percent,
                row.cpu_percent_max,
                row.rss_mib,
                row.rss_mib_max,
                row.sent_kib_per_s,
            ));
        }
        Ok(())
    }
}

/// Path of the daemon's binary in the folder of this program.
fn default_daemon_path() -> PathBuf {
    let program = env::current_exe().unwrap_or_default();
    program.with_file_name("anvilliftd")
}
