//! The gateway of one host: HTTP for callers, upstreams and operators, and links to other hosts.
//!
//! A request enters in [`callers`], is admitted by `admission` and is served by `forward`. That
//! module gets a place from the router and sends an attempt there: to an upstream of this host's
//! data centre, or over a link to a host of another data centre. Commands pass through `commands`.
//! The state that all parts share is [`gateway::Gateway`]; start at
//! [`start`](gateway::Gateway::start).

mod admission;
mod answer;
mod bind;
mod burn;
mod caller_acceptor;
mod caller_connections;
mod caller_stream;
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
mod keys;
mod listener;
mod membership;
mod mesh_handlers;
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
