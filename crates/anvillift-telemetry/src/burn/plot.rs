//! Renders a burn report as an SVG plot of burn rates over time.

use std::error::Error;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use plotters::style::BLACK;

use super::report::{BurnReport, ProfileReport};
use crate::plot::{LABEL_AREA_PX, LEGEND_LINE_PX, MARGIN_PX, PlotError, SIZE_PX};

const HOUR_MS: f64 = 60.0 * 60.0 * 1000.0;

impl BurnReport {
    /// Draws the burn rate of each profile over time, and returns the SVG document.
    pub fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| PlotError::new(error.as_ref()))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Burn rate by profile (at 1, the budget lasts its period)", ("sans-serif", 16))
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(-self.max_age_h()..0.0, 0.0..self.max_rate())?;
        chart.configure_mesh().x_desc("hours").y_desc("burn rate").draw()?;
        for (index, (name, profile)) in self.profiles.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let line = LineSeries::new(points(profile), colour.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], colour);
            chart.draw_series(line)?.label(name.as_str()).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }

    fn max_age_h(&self) -> f64 {
        let ages_h = self.profiles.values().flat_map(points).map(|(age_h, _)| -age_h);
        ages_h.fold(1.0, f64::max)
    }

    fn max_rate(&self) -> f64 {
        let rates = self.profiles.values().flat_map(points).map(|(_, rate)| rate);
        rates.fold(2.0, f64::max) * 1.1
    }
}

/// Returns a point for each bucket: its time relative to now in hours, which is 0 or negative, and
/// its burn rate.
fn points(profile: &ProfileReport) -> impl Iterator<Item = (f64, f64)> + '_ {
    let bucket_h = profile.series_bucket_ms as f64 / HOUR_MS;
    let rates = profile.series_burn_milli.iter().enumerate();
    rates.map(move |(age, milli)| (-(age as f64) * bucket_h, *milli as f64 / 1000.0))
}
