//! Tasks of the repository: `cargo xtask codegen` makes the Rust types of the
//! schemas, `codegen --check` compares them with what is committed.

mod codegen;

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
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.task {
        Task::Codegen(task) => task.execute(),
    };
    if let Err(error) = result {
        eprintln!("error: {error}");
        process::exit(1);
    }
}
