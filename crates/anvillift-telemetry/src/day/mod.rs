//! Reports on a day's requests from the log lines of entry hosts.
//!
//! The logs allow an incident to be analysed afterwards, when no other data is
//! left. A [`DayRecorder`] accepts the lines of any number of hosts in any order.
//! The [`DayReport`] gives the outcomes and latencies of the requests by second
//! and route, and the outcomes of the attempts by worker. It is rendered as text,
//! JSON or an SVG plot.

mod line;
mod plot;
mod recorder;
mod report;
mod text;

pub use recorder::DayRecorder;
pub use report::{DayReport, DurationPercentiles, RouteReport, SecondReport, WorkerReport};
