//! Helpers that the tests share.
//!
//! A test starts a [`cluster::Cluster`] of real daemons and stand-in upstreams,
//! injects faults, and waits for the expected state with [`wait::until`].

pub(crate) mod cluster;
pub(crate) mod fake_host;
pub(crate) mod host;
pub(crate) mod layout;
pub(crate) mod memory_folder;
pub(crate) mod network;
pub(crate) mod stream;
pub(crate) mod tool;
pub(crate) mod upstreams;
pub(crate) mod wait;
