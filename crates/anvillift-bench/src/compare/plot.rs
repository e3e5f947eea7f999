//! Plot of the time to the first token of questions by percentile, with one line for
//! each policy.

use std::path::Path;

use plotters::prelude::*;

use super::Comparison;
use crate::error::{BenchError, PlotSnafu};

const SIZE: (u32, u32) = (960, 540);
/// Percentiles of the plotted points, in halves of a percent.
const HALF_PERCENTILES: std::ops::RangeInclusive<u32> = 1..=199;
/// Lower end of the logarithmic axis; smaller values are drawn here.
const AXIS_MIN_MS: f64 = 10.0;

/// Writes the plot to an SVG file.
///
/// Fails with [`BenchError::Plot`] when it cannot be drawn or written.
pub fn draw(comparison: &Comparison, path: &Path) -> Result<(), BenchError> {
    draw_lines(comparison, path).map_err(|error| {
        PlotSnafu { path: path.display().to_string(), message: error.to_string() }.build()
    })
}

fn draw_lines(comparison: &Comparison, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<(&str, Vec<(f64, f64)>)> = comparison
        .outcomes
        .keys()
        .map(|policy| (policy.as_str(), points(comparison, policy)))
        .collect();
    let largest_ms = lines.iter().flat_map(|(_, line)| line.iter().map(|point| point.1));
    let largest_ms = largest_ms.fold(AXIS_MIN_MS * 10.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!("{}: first token of questions", comparison.experiment.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..100.0, (AXIS_MIN_MS..largest_ms).log_scale())?;
    chart.configure_mesh().x_desc("percentile").y_desc("ms").draw()?;
    for (number, (policy, points)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn points(comparison: &Comparison, policy: &str) -> Vec<(f64, f64)> {
    let durations = comparison.question_first_tokens(policy);
    let percentiles = HALF_PERCENTILES.map(|half| f64::from(half) / 2.0);
    percentiles
        .map(|percent| (percent, durations.percentile_ms(percent).max(AXIS_MIN_MS)))
        .collect()
}
