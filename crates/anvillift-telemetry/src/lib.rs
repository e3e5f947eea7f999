//! Structured logging, error budget reports, and reports on request logs.
//!
//! [`log_init`] writes the records of the `log` crate to standard error or to a
//! file, as text or JSON lines that carry an event number. Each daemon counts
//! its requests in a [`BurnRecorder`]; the operators' tool merges the counts of
//! all daemons into a [`BurnReport`]. A [`DayRecorder`] aggregates the request
//! log lines of entry hosts into a [`DayReport`]. Both reports are rendered as
//! text, JSON or SVG.

pub mod burn;
pub mod day;
pub mod logging;
mod plot;

pub use burn::{BurnRecorder, BurnReport};
pub use day::{DayRecorder, DayReport};
pub use logging::{LogError, log_init};
pub use plot::PlotError;
