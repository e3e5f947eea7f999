//! Open-loop load generator.
//!
//! [`experiment_file`] reads an [`experiment::Experiment`], [`plan`] draws its
//! arrivals from a seed, [`drive`] sends each at its planned time regardless of
//! earlier answers, and a [`tally::Tally`] counts the answers and their latencies.

pub mod arrival;
pub mod caller;
pub mod drive;
pub mod experiment;
pub mod experiment_file;
pub mod plan;
pub mod tally;
pub mod text;
