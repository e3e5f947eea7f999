//! The configuration state machine: profiles, changes, orders to upstreams.
//!
//! [`ControlMachine`] applies the commands of the control log; it is
//! deterministic, so that every replica holds the same. [`HeldConfiguration`]
//! is what a daemon holds: it takes deltas in order by revision and never goes
//! back. Start at [`ControlMachine`].

mod command;
mod edit;
mod held;
mod machine;
mod memory;
mod validate;

pub use command::{decode_answer, decode_command, encode};
pub use held::HeldConfiguration;
pub use machine::{ControlMachine, SEEDED_REVISION};
pub use validate::Invalid;
