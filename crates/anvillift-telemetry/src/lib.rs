//! Structured logging, error budget reports, and reports on request logs.
//!
//! [`init_logging`] writes the records of the `log` crate to standard error or to a
//! file, as text or JSON lines that carry an event number. Each daemon counts
//! its requests in a [`BurnRecorder`]; the operators' tool merges the counts of
//! all daemons into a [`BurnReport`]. A [`RequestLogAggregator`] aggregates the request
//! log lines of entry hosts into a [`RequestLogReport`]. Both reports are rendered as
//! text, JSON or SVG.

pub mod burn;
pub mod logging;
mod plot;
pub mod request_log;

pub use burn::{BurnRecorder, BurnReport};
pub use logging::{LogError, init_logging};
pub use plot::PlotError;
pub use request_log::{RequestLogAggregator, RequestLogReport};
