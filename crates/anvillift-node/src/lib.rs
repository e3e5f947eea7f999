//! Entry and core processes of a fleet.
//!
//! An entry host is a reverse proxy: it accepts callers' requests and forwards
//! them to workers. A core host is part of the control plane: it stores the
//! replicated control log on disk, receives workers' reports and answers
//! directory queries with the addresses of entry hosts. Each process runs its
//! tasks on one thread around a shared state; the replicated log has a thread of
//! its own, since syncing to disk blocks. Hosts find each other through the
//! seeds in their settings: they dial the seeds, which are core hosts, and learn
//! the other hosts over these links. Headers and calls of the platform are
//! decoded by the [`Dialect`] passed to [`run()`].

mod call_count;
mod clock;
mod core;
mod decoded_configuration;
mod dialect;
mod entry;
mod error;
mod fleet_view;
mod hub;
mod link;
mod listen;
mod log_budget;
mod node;
mod node_calls;
mod node_control;
mod off_thread;
mod paced_read;
mod pending_control;
mod quarantine;
mod recorder;
mod respond;
mod run;
mod serve_calls;
mod settings;

pub use dialect::{CallError, ControlCall, DecodeConfiguration, Dialect, HeaderNames};
pub use error::NodeError;
pub use run::run;
pub use settings::{HostRole, NodeSettings};
