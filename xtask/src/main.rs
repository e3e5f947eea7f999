//! Tasks of the repository: `cargo xtask codegen` makes the Rust types of the
//! schemas, `codegen --check` compares them with what is committed, and
//! `cargo xtask soak` runs the whole system under faults.

mod codegen;
mod soak;

use std::process;

/// Tasks of the repository.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

/// The tasks.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Task {
    Codegen(codegen::Codegen),
    Soak(soak::Soak),
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.task {
        Task::Codegen(task) => task.execute().map_err(|error| error.to_string()),
        Task::Soak(task) => task.execute().map_err(|error| error.to_string()),
    };
    if let Err(error) = result {
        eprintln!("error: {error}");
        process::exit(1);
    }
}
