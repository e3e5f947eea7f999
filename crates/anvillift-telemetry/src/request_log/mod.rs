//! Reports on a day's requests from the log lines of entry hosts.
//!
//! The logs allow an incident to be analysed afterwards, when no other data is
//! left. A [`RequestLogAggregator`] accepts the lines of any number of hosts in any order.
//! The [`RequestLogReport`] gives the outcomes and latencies of the requests by second
//! and route, and the outcomes of the attempts by worker. It is rendered as text,
//! JSON or an SVG plot.

mod aggregator;
mod line;
mod plot;
mod report;
mod text;

pub use aggregator::RequestLogAggregator;
pub use report::{DurationPercentiles, RequestLogReport, RouteReport, SecondReport, WorkerReport};
