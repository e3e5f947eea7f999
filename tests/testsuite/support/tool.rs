//! Runs the command-line tool and collects its output.

use std::process::{Command, Output};

/// Exit code and output of a finished run of the tool.
#[derive(Debug)]
pub(crate) struct ToolOutput {
    /// Exit code; 0 on success.
    pub(crate) code: i32,
    /// Standard output as text.
    pub(crate) stdout: String,
    /// Standard error as text.
    pub(crate) stderr: String,
}

impl ToolOutput {
    /// Parses the standard output as JSON. Panics if it is not valid JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs the tool against the host at `url` with a key.
pub(crate) fn run_against(url: &str, key: &str, arguments: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_anvillift"))
        .args(arguments)
        .env("ANVILLIFT_URL", url)
        .env("ANVILLIFT_KEY", key)
        .output()
        .expect("the tool runs");
    tool_output(&output)
}

/// Runs the tool without a host or key in its environment.
pub(crate) fn run(arguments: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_anvillift"))
        .args(arguments)
        .env_remove("ANVILLIFT_URL")
        .env_remove("ANVILLIFT_KEY")
        .output()
        .expect("the tool runs");
    tool_output(&output)
}

fn tool_output(output: &Output) -> ToolOutput {
    ToolOutput {
        code: output.status.code().expect("the tool ends by itself"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
