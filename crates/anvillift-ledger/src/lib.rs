//! At most once: reservations and outcomes of commands.
//!
//! [`machine::Machine`] is the deterministic state under a home region's
//! replicated log. [`attempt::Attempt`] is what a dispatching host does with one
//! command: reserve by majority, send once before the dispatch deadline, record
//! the outcome. Whole answers stay beside the log in [`answers::Answers`], on
//! hosts in the places of the profile; the log holds only hashes and states.

pub mod answers;
pub mod attempt;
pub mod key;
pub mod machine;
mod record;
