//! What the outside speaks, as functions and names given by the platform.

use anvillift_fleet::{ConfigurationError, FleetConfiguration, Prompt};
use anvillift_http::{Headers, RequestHead};
use anvillift_schema::fleet::FleetWorker;
use anvillift_schema::name::Name;

/// Names of the header fields.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request; workers return it.
    pub request_id: &'static str,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Id of the worker that a request is meant for.
    pub expected_worker: &'static str,
    /// Proof that a worker made the answer.
    pub stamp: &'static str,
    /// Says that a worker has not run the request.
    pub not_run: &'static str,
    /// Rank of a request at an engine.
    pub engine_priority: &'static str,
    /// Id of the last event that arrived.
    pub last_event_id: &'static str,
    /// Fields that only this system may set, and callers may not.
    pub system_only: &'static [&'static str],
}

/// A call to the control plane or the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A worker reports.
    Report(FleetWorker),
    /// A worker leaves.
    Leave {
        /// Its id.
        worker: Name,
    },
    /// An operator puts a configuration in force.
    Replace {
        /// Version.
        version: u64,
    },
    /// An operator reads the configuration.
    Read,
    /// An operator begins or ends an evacuation.
    Evacuate {
        /// Data centre.
        data_centre: Name,
        /// Whether it begins.
        active: bool,
    },
    /// A caller asks which hosts to use.
    Resolve {
        /// Region of the caller.
        region: String,
    },
    /// The platform asks whether the host is ready.
    Readiness,
}

/// Why a call can't be served.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// There is no such call.
    #[snafu(display("there is no such call"))]
    Unknown,
    /// The call can't be read.
    #[snafu(display("the call can't be read: {reason}"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// The configuration is not valid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// What is wrong.
        source: ConfigurationError,
    },
}

/// Decodes and encodes what the outside speaks.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of the header fields.
    pub headers: HeaderNames,
    /// Decodes a call to the control plane or the directory.
    pub decode_call: fn(&RequestHead, &[u8]) -> Result<ControlCall, CallError>,
    /// Decodes a configuration.
    pub decode_configuration: fn(&[u8]) -> Result<FleetConfiguration, ConfigurationError>,
    /// Reads what is known of a prompt.
    pub decode_prompt: fn(&Headers) -> Prompt,
    /// Encodes an answer of the directory: addresses, and how long they hold in seconds.
    pub encode_addresses: fn(&[String], f64) -> Vec<u8>,
    /// Encodes an error for the caller.
    pub encode_error: fn(&str) -> Vec<u8>,
}
