//! At-most-once execution of commands: reservations and outcomes by idempotency
//! key.
//!
//! [`machine::Machine`] is the deterministic state machine to which the
//! replicated log of a home region is applied. [`attempt::Attempt`] holds the
//! steps of a dispatching host for one command: it reserves the key by a
//! majority, sends the command once before the dispatch deadline, and records the
//! outcome. Complete answers are not in the log but in [`answers::AnswerStore`], on
//! hosts in the places of the profile. The log holds only hashes and states.

pub mod answers;
pub mod attempt;
pub mod key;
pub mod machine;
mod record;
