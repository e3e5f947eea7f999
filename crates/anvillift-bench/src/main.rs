//! Command-line tool that runs stand-in upstreams and experiments.
//!
//! Each subcommand is a module of `cmd`.

mod cmd;

use std::process::ExitCode;

use cmd::Command;

/// Run stand-in upstreams and experiments for anvillift.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command.execute().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            cmd::report_error(&error);
            ExitCode::FAILURE
        }
    }
}
