//! Membership protocol: tracks which hosts, upstreams and data centres are alive.
//!
//! [`membership::Membership`] is a state machine without I/O: it receives the current
//! time and incoming messages, and returns the messages to send. Inside a data
//! centre every host sends heartbeats to every other host; they carry changes
//! and the state of the upstreams that announce themselves to the sender.
//! Between data centres, two delegates of each data centre send digests to two
//! delegates of every other, which relay them in their heartbeats.
//! [`view::View`] is a snapshot of the resulting state, from which
//! [`directory::directory`] ranks the hosts that a caller should use.

mod cache;
pub mod coarse;
pub mod delegates;
pub mod directory;
pub mod links;
mod local_peers;
pub mod membership;
mod remote_data_centre;
mod remote_data_centres;
mod roster;
pub mod sender_clock;
mod settings;
mod upstream_state;
mod upstreams;
pub mod view;

pub use upstreams::UpstreamCacheEvent;
