//! Runs of the command-line tool.

use std::process::{Command, Output};

/// A finished run of the tool.
#[derive(Debug)]
pub(crate) struct Run {
    /// Exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) stdout: String,
    /// Standard error.
    pub(crate) stderr: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs the tool with arguments against the host at `url`.
pub(crate) fn run_at(url: &str, key: &str, arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_anvillift"))
        .args(arguments)
        .env("ANVILLIFT_URL", url)
        .env("ANVILLIFT_KEY", key)
        .output()
        .expect("the tool runs");
    finished(&output)
}

/// Runs the tool with arguments and no host.
pub(crate) fn run(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_anvillift"))
        .args(arguments)
        .env_remove("ANVILLIFT_URL")
        .env_remove("ANVILLIFT_KEY")
        .output()
        .expect("the tool runs");
    finished(&output)
}

fn finished(output: &Output) -> Run {
    Run {
        code: output.status.code().expect("the tool ends by itself"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
