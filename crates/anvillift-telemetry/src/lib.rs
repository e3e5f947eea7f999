//! Structured logs, service-level burn and the report of a day.
//!
//! [`log_init`] sends the records of the `log` crate to standard error or a
//! file, with numbered events as text or JSON lines. A daemon counts its
//! requests in a [`BurnRecorder`]; the operators' tool merges the counts of all
//! daemons into a [`BurnReport`], which is shown as text, JSON or SVG. So is a
//! [`DayReport`], which a [`DayRecorder`] makes of the log lines of entry hosts.

pub mod burn;
pub mod day;
pub mod logging;
mod plot;

pub use burn::{BurnRecorder, BurnReport};
pub use day::{DayRecorder, DayReport};
pub use logging::{LogError, log_init};
pub use plot::PlotError;
