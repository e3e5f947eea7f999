//! Structured logs and service-level burn.
//!
//! [`log_init`] sends the records of the `log` crate to standard error or a
//! file, with numbered events as text or JSON lines. A daemon counts its
//! requests in a [`BurnRecorder`]; the operators' tool merges the counts of all
//! daemons into a [`BurnReport`], which is shown as text, JSON or SVG.

pub mod burn;
pub mod logging;

pub use burn::{BurnRecorder, BurnReport};
pub use logging::{LogError, log_init};
