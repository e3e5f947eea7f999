//! The command-line tool of anvillift.
//!
//! The arguments are parsed into one command. It sends requests to an entry host
//! through [`client::Client`] and writes the answer as text or JSON. An error
//! determines the exit code; see [`error::Error::exit_code`].

mod client;
mod cmd;
mod error;
mod output;
mod table;

use std::env;
use std::io::{self, Write};
use std::process::ExitCode;

use argh::EarlyExit;

use crate::cmd::Arguments;
use crate::error::EXIT_USAGE;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (name, rest) = arguments.split_first().unwrap_or((&"anvillift", &[]));
    match <Arguments as argh::FromArgs>::from_args(&[name], rest) {
        Ok(arguments) => run(&arguments),
        Err(exit) => exit_early(&exit),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(arguments.execute()),
        Err(source) => Err(error::Error::Runtime { source }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::print_error(arguments.format, &error);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints help or a usage error and returns the exit code.
fn exit_early(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            let _ = writeln!(io::stdout(), "{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            let _ = writeln!(io::stderr(), "{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    }
}
