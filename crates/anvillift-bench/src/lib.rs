//! Stand-in upstreams, load tool, experiments and benchmarks.
//!
//! [`engine`] stands in for a model engine and [`plain`] for a plain service;
//! both speak the published protocols over HTTP and announce themselves to
//! entry hosts. Start at [`engine::start`] and [`plain::start`].

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
