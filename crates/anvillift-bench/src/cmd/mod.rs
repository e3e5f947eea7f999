//! Subcommands of `anvillift-bench`, one per module, and their shared helpers.

mod compare;
mod data_path;
mod engine;
mod plain;
mod slopes;

use std::error::Error;
use std::io::{self, Write};

use anvillift_bench::announce::AnnounceSettings;
use anvillift_bench::error::BenchError;

/// Subcommand selected on the command line.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Runs a stand-in model engine.
    Engine(engine::EngineCommand),
    /// Runs a stand-in plain service.
    Plain(plain::PlainCommand),
    /// Measures the cost of idle daemons by size of the system.
    Slopes(slopes::SlopesCommand),
    /// Measures the latency that a host adds.
    DataPath(data_path::DataPathCommand),
    /// Compares placement policies.
    Compare(compare::CompareCommand),
}

impl Command {
    /// Runs the subcommand until it is finished or stopped by a signal.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        match self {
            Self::Engine(command) => command.execute().await,
            Self::Plain(command) => command.execute().await,
            Self::Slopes(command) => command.execute().await,
            Self::DataPath(command) => command.execute().await,
            Self::Compare(command) => command.execute().await,
        }
    }
}

/// Writes an error and its chain of causes to standard error.
pub(crate) fn report_error(error: &BenchError) {
    let mut text = format!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!("\n  because: {error}"));
        cause = error.source();
    }
    let _ = writeln!(io::stderr(), "{text}");
}

fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

fn announce_settings(hosts: &str, key: String) -> AnnounceSettings {
    let hosts = hosts.split(',').filter(|host| !host.is_empty()).map(str::to_owned).collect();
    AnnounceSettings { hosts, key, ..AnnounceSettings::default() }
}

/// Waits for SIGTERM or SIGINT; waits forever when no handler can be installed.
async fn wait_for_stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
