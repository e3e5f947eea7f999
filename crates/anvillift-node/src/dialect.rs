//! Interface to the platform: its header names, and functions that decode its
//! calls and encode answers.

use std::io::Read;

use anvillift_fleet::{ConfigurationError, FleetConfiguration, Prompt};
use anvillift_http::{Headers, RequestHead};
use anvillift_schema::fleet::FleetWorker;
use anvillift_schema::name::Name;

/// Value of the field by which a worker says that it is leaving.
pub(crate) const LEAVING_VALUE: &str = "1";

/// Header names that the platform uses for fields that this crate reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id. Workers echo it in their answer, which shows that the answer
    /// belongs to the request.
    pub request_id: &'static str,
    /// Remaining time that the caller waits for the answer, in milliseconds.
    pub deadline_ms: &'static str,
    /// Id of the worker that a request is addressed to.
    pub expected_worker: &'static str,
    /// Stamp by which an answer shows that a worker produced it.
    pub stamp: &'static str,
    /// Set on an answer when the worker has not executed the request.
    pub not_run: &'static str,
    /// Priority of a request in the worker's inference engine. Empty if the
    /// platform has no such field.
    pub engine_priority: &'static str,
    /// Id of the last event received, from which a resumed stream continues.
    pub last_event_id: &'static str,
    /// Id of the request that began the stream which a request resumes.
    pub resumes: &'static str,
    /// Set to [`LEAVING_VALUE`] on each answer of a worker that is leaving.
    pub leaving: &'static str,
    /// Requests per second that a worker takes from all hosts together, on each of its
    /// answers for as long as the limit holds.
    pub rate_limit: &'static str,
    /// Rejections within a second above which a worker falls over, on each of its answers
    /// while it is brittle.
    pub brittle: &'static str,
    /// Credentials of the caller. Empty if the platform has no such field.
    pub credentials: &'static str,
    /// Scheme in `credentials` that an API key follows.
    pub key_scheme: &'static str,
    /// Team of the caller, on requests to workers. Empty if the platform has no such field.
    pub team: &'static str,
    /// Fields that are removed from callers' requests, since only this system
    /// may set them.
    pub system_only: &'static [&'static str],
}

/// A decoded call to the control plane or the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Periodic report of a worker: state, address and slots.
    Report(FleetWorker),
    /// A worker deregisters and must receive no more requests.
    Leave {
        /// Id of the worker that leaves.
        worker: Name,
    },
    /// An operator replaces the configuration by the one in the body.
    Replace {
        /// Version of the new configuration. A version that is not higher than
        /// the current one changes nothing.
        version: u64,
    },
    /// An operator reads the current configuration.
    Read,
    /// An operator starts or ends the evacuation of a data centre.
    Evacuate {
        /// Name of the data centre whose workers receive no requests meanwhile.
        data_centre: Name,
        /// True to start the evacuation, false to end it.
        active: bool,
    },
    /// A caller asks the directory for the addresses of entry hosts.
    Resolve {
        /// Region of the caller, whose entry hosts are preferred.
        region: String,
        /// Data centre of the caller; empty if it states none.
        data_centre: String,
    },
    /// Readiness probe of the platform.
    Readiness,
}

/// Reasons why a call to the control plane or the directory is rejected.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// Method and path match no call of the platform.
    #[snafu(display("no call has this method and path"))]
    Unknown,
    /// The path matches a call, but the body or a parameter is malformed.
    #[snafu(display("malformed call: {reason}"))]
    Unreadable {
        /// Message of the decoder.
        reason: String,
    },
    /// The configuration in the body is malformed or inconsistent.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// First problem found by the validation.
        source: ConfigurationError,
    },
}

/// Decodes and validates a configuration document. Runs on a thread of its own for a large one.
pub type DecodeConfiguration = fn(&mut dyn Read) -> Result<FleetConfiguration, ConfigurationError>;

/// Header names and codec functions of the platform's protocol.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header names of requests and answers.
    pub headers: HeaderNames,
    /// Decodes a call to the control plane or the directory from its head and
    /// body.
    pub decode_call: fn(&RequestHead, &[u8]) -> Result<ControlCall, CallError>,
    /// Decodes and validates a configuration document.
    pub decode_configuration: DecodeConfiguration,
    /// Reads the token counts and the shared prefix of a prompt from the header
    /// fields.
    pub decode_prompt: fn(&Headers) -> Prompt,
    /// Encodes an answer of the directory: the addresses, and their time to live
    /// in seconds.
    pub encode_addresses: fn(&[String], f64) -> Vec<u8>,
    /// Encodes an error message as the body of an answer.
    pub encode_error: fn(&str) -> Vec<u8>,
}
