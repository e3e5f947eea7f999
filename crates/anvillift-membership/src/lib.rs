//! Who is alive: hosts, upstreams and other data centres.
//!
//! [`members::Members`] takes the time and messages in and gives messages out;
//! it owns no socket and no timer. Inside a data centre hosts exchange
//! heartbeats; between data centres two delegates each exchange summaries.
//! What is known at a moment is a [`view::View`].

pub mod members;
pub mod view;
