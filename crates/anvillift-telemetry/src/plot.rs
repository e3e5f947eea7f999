//! Dimensions and the error type shared by the plots of all reports.

use std::error::Error;

/// Width and height of a plot, in pixels.
pub(crate) const SIZE_PX: (u32, u32) = (960, 480);
/// Margin around a plot, in pixels.
pub(crate) const MARGIN_PX: u32 = 16;
/// Space reserved for the labels of each axis, in pixels.
pub(crate) const LABEL_AREA_PX: u32 = 48;
/// Length of the colour sample of a legend entry, in pixels.
pub(crate) const LEGEND_LINE_PX: i32 = 18;

/// A plot could not be drawn, because the drawing library returned an error.
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
