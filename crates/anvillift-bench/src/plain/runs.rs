//! Record of the commands that a plain service ran.

use serde::{Deserialize, Serialize};

/// One run of a command, with the request that started it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// HTTP method of the request.
    pub method: String,
    /// Path of the request, with its query.
    pub path: String,
    /// `Idempotency-Key` header; `None` when absent or not text.
    pub key: Option<String>,
    /// `Anvillift-Key-Hash` header; `None` when absent or not text.
    pub key_hash: Option<String>,
    /// `Anvillift-Attempt` header; `None` when absent or not text.
    pub attempt: Option<String>,
    /// Body of the request, with invalid UTF-8 replaced.
    pub body: String,
}

/// Record of a plain service, as returned by `GET /v1/inspect`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// Number of readings answered.
    pub reads: u64,
    /// Number of commands that arrived, including those that did not run.
    pub commands_seen: u64,
    /// Every run, in order of time; a command that ran twice is listed twice.
    pub runs: Vec<Run>,
}

impl RunReport {
    /// Number of runs with this idempotency key and path.
    pub fn run_count(&self, key: &str, path: &str) -> usize {
        self.runs.iter().filter(|run| run.key.as_deref() == Some(key) && run.path == path).count()
    }
}
