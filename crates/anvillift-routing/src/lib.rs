//! Decisions about requests, without I/O.
//!
//! A request is admitted ([`admission`], [`team_limit`]), placed
//! ([`router::Router`], whose core is the pure function [`decide::decide`])
//! and, where it failed without having run, tried again within the
//! [`retry_budget`]. Time and randomness come from the caller.

pub mod admission;
pub mod decide;
pub mod estimate;
pub mod hedge;
pub mod load_view;
pub mod policy;
pub mod prefix;
pub mod request;
pub mod retry_budget;
pub mod router;
pub mod sent;
pub mod shortlist;
pub mod team_bucket;
pub mod team_limit;
