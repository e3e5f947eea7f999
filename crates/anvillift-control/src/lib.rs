//! The configuration state machine: profiles, services, teams, changes and orders
//! to upstreams.
//!
//! [`ControlMachine`] applies the commands of the control log. It is deterministic,
//! so all replicas reach the same state. [`DaemonConfiguration`] is the copy of the
//! configuration in a daemon: it applies deltas in the order of their revisions and
//! never goes back to an older revision.

mod command;
mod daemon_configuration;
mod edit;
mod machine;
mod record_store;
mod validate;

pub use command::{decode_answer, decode_command, encode};
pub use daemon_configuration::DaemonConfiguration;
pub use machine::{ControlMachine, SEEDED_REVISION};
pub use validate::InvalidChange;
