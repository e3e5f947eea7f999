//! Open-loop load.
//!
//! An [`experiment::Experiment`] is read from an INI file, a seed turns it
//! into a [`plan`] of arrivals, [`drive`] sends each at its time whatever
//! became of those before it, and a [`tally::Tally`] keeps what was seen.

pub mod arrival;
pub mod caller;
pub mod drive;
pub mod experiment;
pub mod experiment_file;
pub mod plan;
pub mod tally;
pub mod text;
