//! Stand-in upstreams, load tool, experiments and benchmarks.
//!
//! [`engine`] simulates a model engine and [`plain`] a plain service; both
//! speak the published protocols over HTTP and announce themselves to entry
//! hosts. [`fleet`] runs several entry hosts in one process, [`load`] sends
//! requests to them, and [`trial`] combines both into one measured run.
//! [`compare`], [`data_path`] and [`slopes`] are the experiments, each with a
//! `run` function.

pub mod announce;
pub mod compare;
pub mod data_path;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod listener;
pub mod load;
pub mod plain;
pub mod slopes;
pub mod trial;
