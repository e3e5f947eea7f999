//! Stand-ins, load tool and experiments of anvillift.

mod cmd;

use std::process::ExitCode;

use cmd::Command;

/// Stand-ins, load tool and experiments of anvillift.
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
