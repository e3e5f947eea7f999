//! Settings of the stand-in plain service, fixed at start, and its faults, which tests
//! change while it runs.

use anvillift_schema::name::Name;
use serde::{Deserialize, Serialize};

use crate::announce::AnnounceSettings;

/// Identity, address and simulated faults of a stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Upstream name in announcements.
    pub name: Name,
    /// Name of the service that it serves.
    pub service: Name,
    /// IP address and port to listen on; port 0 lets the system choose.
    pub listen: String,
    /// Entry hosts to announce to, and the key and interval.
    pub announce: AnnounceSettings,
    /// Simulated faults at start.
    pub faults: PlainFaults,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            name: Name::from("plain"),
            service: Name::from("plain"),
            listen: "127.0.0.1:0".to_owned(),
            announce: AnnounceSettings::default(),
            faults: PlainFaults::default(),
        }
    }
}

/// Simulated faults of a plain service, which can be changed while it runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlainFaults {
    /// Fault of the next commands.
    pub fault: Fault,
    /// Number of further commands with the fault; `None` for all.
    pub fault_count: Option<u32>,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
}

/// Fault in the handling of a command.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The command runs and is answered.
    #[default]
    None,
    /// The connection is closed as the command arrives; the command does not run.
    CloseOnArrival,
    /// The command runs, and the connection is closed without an answer.
    RunThenClose,
    /// The command runs, and the answer ends after a part of its body.
    CutAnswer,
    /// The command runs, and no answer is sent until the caller disconnects.
    Hang,
}
