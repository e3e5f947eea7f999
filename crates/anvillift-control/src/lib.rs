//! The configuration state machine: profiles, services, teams, changes and orders
//! to upstreams.
//!
//! [`ControlMachine`] applies the commands of the control log. It is deterministic,
//! so all replicas reach the same state. [`DaemonConfiguration`] is the copy of the
//! configuration in a daemon: it applies deltas in the order of their revisions and
//! never goes back to an older revision. [`find_invalid`] and [`differences`] serve the
//! check of a change before it is sent.

mod command;
mod daemon_configuration;
mod difference;
mod differences;
mod edit;
mod field_difference;
mod machine;
mod record_store;
mod validate;

pub use command::{decode_answer, decode_command, encode};
pub use daemon_configuration::DaemonConfiguration;
pub use difference::{Difference, DifferenceKind};
pub use differences::differences;
pub use edit::apply as apply_edits;
pub use field_difference::FieldDifference;
pub use machine::{ControlMachine, SEEDED_REVISION};
pub use validate::{InvalidChange, find_invalid};
