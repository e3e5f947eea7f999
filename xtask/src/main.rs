//! Development tasks of the repository.
//!
//! `cargo xtask codegen` generates Rust types from the schemas, `cargo xtask
//! codegen --check` compares them with the committed files, `cargo xtask journal` checks
//! that the pages name each broken rule of the journal, `cargo xtask soak` runs the whole
//! system under injected faults, and `cargo xtask test` runs all tests but those that are known to
//! fail.

mod codegen;
mod journal;
mod soak;
mod test;

use std::process;

/// Run a development task of the repository.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Task {
    Codegen(codegen::Codegen),
    Journal(journal::Journal),
    Soak(soak::Soak),
    Test(test::Test),
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.task {
        Task::Codegen(task) => task.execute().map_err(|error| error.to_string()),
        Task::Journal(task) => task.execute().map_err(|error| error.to_string()),
        Task::Soak(task) => task.execute().map_err(|error| error.to_string()),
        Task::Test(task) => task.execute().map_err(|error| error.to_string()),
    };
    if let Err(error) = result {
        eprintln!("error: {error}");
        process::exit(1);
    }
}
