//! What the plots of all reports share: their measures and their error.

use std::error::Error;

/// Size of a plot, in pixels.
pub(crate) const SIZE_PX: (u32, u32) = (960, 480);
/// Margin around it, in pixels.
pub(crate) const MARGIN_PX: u32 = 16;
/// Room for the labels of an axis, in pixels.
pub(crate) const LABEL_AREA_PX: u32 = 48;
/// Length of a line in the legend, in pixels.
pub(crate) const LEGEND_LINE_PX: i32 = 18;

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
