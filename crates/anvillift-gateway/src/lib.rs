//! The gateway of one host: HTTP towards callers, upstreams and operators,
//! links towards other hosts.
//!
//! A request enters in [`callers`], is admitted by `admission`, and is
//! served by `forward`, which asks the router for a place and sends an attempt
//! there: to an upstream of the own data centre, or over a link to a host of
//! another one. Commands take the way through `commands`. What all parts share
//! is [`gateway::Gateway`]; start at [`start`](gateway::Gateway::start).

mod admission;
mod answer;
mod bind;
mod burn;
mod caller_tls;
pub mod callers;
mod client;
mod clock;
mod commands;
mod control;
mod error;
mod exporter;
pub mod forward;
pub mod gateway;
mod headers;
mod in_flight;
mod inbox;
mod keys;
mod listener;
mod membership;
mod operators;
mod placement;
mod problem;
mod request;
mod running;
mod snapshot;
mod start;
mod upstreams;

pub use error::StartError;
pub use exporter::install_metrics;
pub use gateway::Gateway;
pub use running::RunningGateway;
