//! Settings and modes of the stand-in plain service.

use anvillift_schema::name::Name;
use serde::{Deserialize, Serialize};

use crate::announce::AnnounceSettings;

/// Settings of a stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Name of the upstream.
    pub name: Name,
    /// Service it serves.
    pub service: Name,
    /// IP and port to listen on.
    pub listen: String,
    /// Entry hosts to announce to.
    pub announce: AnnounceSettings,
    /// Mode at start.
    pub mode: PlainMode,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            name: Name::from("plain"),
            service: Name::from("plain"),
            listen: "127.0.0.1:0".to_owned(),
            announce: AnnounceSettings::default(),
            mode: PlainMode::default(),
        }
    }
}

/// How a plain service misbehaves; changed while it runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlainMode {
    /// What happens to commands.
    pub fault: Fault,
    /// Requests that the fault still strikes; `None` is no end.
    pub fault_count: Option<u32>,
    /// Added to each answer.
    pub delay_ms: u64,
}

/// What happens to a command.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It runs and is answered.
    #[default]
    None,
    /// The connection is closed as the command arrives; it does not run.
    CloseOnArrival,
    /// It runs, and the connection is closed without an answer.
    RunThenClose,
    /// It runs, and the answer is cut in the middle.
    CutAnswer,
    /// It runs, and nothing is answered until the caller leaves.
    Hang,
}
