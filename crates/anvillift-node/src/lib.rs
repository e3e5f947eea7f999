//! The processes of a fleet.
//!
//! An entry host takes callers' requests and forwards them to workers; a core
//! host keeps the control log on its disk, takes workers' reports and tells
//! callers which entry hosts to use. Each process is one thread of tasks around
//! a shared state; the replicated log has a thread of its own, since syncing
//! blocks. Hosts know each other only through the seeds of their settings: they
//! dial the cores among them and learn of the others over the links. What the
//! outside speaks is decoded by a [`Dialect`], given by the caller. Start at
//! [`run`].

mod clock;
mod core;
mod dialect;
mod entry;
mod error;
mod hub;
mod link;
mod listen;
mod node;
mod node_calls;
mod recorder;
mod respond;
mod run;
mod serve_calls;
mod settings;

pub use dialect::{CallError, ControlCall, Dialect, HeaderNames};
pub use error::NodeError;
pub use run::run;
pub use settings::{HostRole, NodeSettings};
