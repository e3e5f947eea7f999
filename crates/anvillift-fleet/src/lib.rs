//! State and decisions of a fleet, without sockets, files or clocks.
//!
//! A fleet is a gateway whose hosts discover each other and their workers at run
//! time. [`WorkerTable`] and [`HostTable`] merge reports that arrive out of order
//! from several hosts. [`ControlMachine`] is the state machine that applies the
//! commands of the replicated log. [`choose`], [`spill`], [`retry_decision`] and related
//! modules decide where a request goes, whether it is retried and which answer its
//! caller receives. Time is passed in as `now_ms` of a monotonic clock.

pub mod admission;
mod answer_timeouts;
mod broken_requests;
mod caller_id;
pub mod choose;
mod cold_share;
mod configuration;
mod configuration_error;
mod control_fetch;
mod control_machine;
pub mod core_roster;
mod crash_evidence;
mod decimal;
pub mod directory;
pub mod document;
pub mod eligibility;
mod event_position;
mod event_splitter;
mod fingerprint;
mod host_table;
mod in_flight;
mod in_flight_request;
mod in_flight_table;
mod limit_share;
mod prefix_counts;
mod prompt;
mod prompt_part;
mod prompt_speed;
mod quarantine;
pub mod rate_limit;
mod region_loads;
mod repeat_kind;
pub mod retry_after;
pub mod retry_decision;
mod retry_share;
pub mod room_share;
mod route;
mod route_table;
pub mod seed;
mod served_parts;
mod service;
mod service_loads;
pub mod spill;
pub mod start_wait;
pub mod stream_origin;
mod stream_versions;
pub mod subset;
mod truncated_stream;
mod version_constraint;
mod version_history;
mod window;
mod worker_health;
mod worker_notices;
mod worker_table;

pub use answer_timeouts::AnswerTimeouts;
pub use broken_requests::{BrokenRequests, ConfirmedCrash};
pub use caller_id::CallerId;
pub use cold_share::{ColdShare, LimitSharers};
pub use configuration::{CallerLimits, FleetConfiguration};
pub use configuration_error::ConfigurationError;
pub use control_fetch::ControlFetch;
pub use control_machine::{ControlMachine, Outcome};
pub use crash_evidence::CrashEvidence;
pub use event_position::EventPosition;
pub use event_splitter::EventSplitter;
pub use fingerprint::{Fingerprint, RequestContent};
pub use host_table::{HostTable, HostTableSettings};
pub use in_flight::InFlight;
pub use in_flight_request::InFlightRequest;
pub use in_flight_table::InFlightTable;
pub use limit_share::{LimitShare, SharedLimit};
pub use prefix_counts::PrefixCounts;
pub use prompt::Prompt;
pub use prompt_part::PromptPart;
pub use prompt_speed::PromptSpeed;
pub use quarantine::{QUARANTINE_MS, Quarantine};
pub use region_loads::RegionLoads;
pub use repeat_kind::RepeatKind;
pub use retry_share::{RetryShare, RetryShareSettings};
pub use route::{Route, Target};
pub use route_table::RouteTable;
pub use served_parts::ServedParts;
pub use service::{Engine, Service};
pub use service_loads::ServiceLoads;
pub use stream_versions::{StreamKey, StreamVersions};
pub use truncated_stream::TruncatedStream;
pub use version_constraint::VersionConstraint;
pub use window::Window;
pub use worker_health::{WorkerHealth, WorkerHealthSettings};
pub use worker_notices::{WorkerNotice, WorkerNotices, WorkerStart};
pub use worker_table::{WorkerEntry, WorkerTable};
