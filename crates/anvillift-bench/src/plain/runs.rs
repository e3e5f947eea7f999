//! Which commands ran, and how often.

use serde::{Deserialize, Serialize};

/// One run of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Value of `Anvillift-Key-Hash`.
    pub key_hash: Option<String>,
    /// Value of `Anvillift-Attempt`.
    pub attempt: Option<String>,
    /// Body, as text.
    pub body: String,
}

/// What `GET /v1/inspect` tells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// Readings answered.
    pub reads: u64,
    /// Commands that arrived, run or not.
    pub commands_seen: u64,
    /// Commands that ran, in order.
    pub runs: Vec<Run>,
}

impl RunReport {
    /// How often a command ran.
    pub fn count(&self, key: &str, path: &str) -> usize {
        self.runs.iter().filter(|run| run.key.as_deref() == Some(key) && run.path == path).count()
    }
}
