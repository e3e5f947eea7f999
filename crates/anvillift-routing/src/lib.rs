//! Routing decisions for requests, without I/O.
//!
//! A request passes admission control ([`admission`], [`team_limit`]) and is placed
//! by [`router::Router`], whose core is the pure function [`decide::decide`]. A
//! request that failed without having run is retried within its [`retry_budget`].
//! Time and randomness come from the caller.

pub mod admission;
pub mod bucket;
pub mod decide;
pub mod estimate;
pub mod grants;
pub mod hedge;
pub mod load_view;
pub mod policy;
pub mod prefix;
pub mod request;
pub mod retry_budget;
pub mod router;
pub mod sent_tokens;
pub mod shortlist;
pub mod team_bucket;
pub mod team_limit;
mod weights;
