//! What the tests share.
//!
//! A test makes a [`cluster::Cluster`] of real daemons, gives it stand-in
//! upstreams, harms it, and waits for what must follow with [`wait::until`].

pub(crate) mod cluster;
pub(crate) mod fake_host;
pub(crate) mod host;
pub(crate) mod layout;
pub(crate) mod network;
pub(crate) mod stream;
pub(crate) mod tool;
pub(crate) mod upstreams;
pub(crate) mod wait;
