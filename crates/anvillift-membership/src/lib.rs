//! Who is alive: hosts, upstreams and other data centres.
//!
//! [`members::Members`] takes the time and messages in and gives messages out;
//! it owns no socket and no timer. Inside a data centre every host sends
//! heartbeats to every other, with what changed and with the upstreams that it
//! hears directly. Between data centres two delegates each send digests, which
//! the delegates on the other side relay in their heartbeats. What is known at
//! a moment is a [`view::View`]; [`directory::directory`] makes of it the hosts
//! that a caller should use.

mod cache;
pub mod coarse;
pub mod directory;
mod known_upstream;
pub mod links;
pub mod members;
mod neighbours;
pub mod rank;
mod remote_centre;
mod remotes;
mod roster;
pub mod sender_clock;
mod settings;
mod upstreams;
pub mod view;

pub use upstreams::HeardCacheEvent;
