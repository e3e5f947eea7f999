//! Why a plot could not be drawn.

use std::error::Error;

/// Why a plot could not be drawn.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the plot could not be drawn: {reason}"))]
pub struct PlotError {
    reason: String,
}

impl PlotError {
    pub(crate) fn new(cause: &dyn Error) -> Self {
        Self { reason: cause.to_string() }
    }
}
