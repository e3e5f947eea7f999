//! Renders a request log report as an SVG plot of requests over time.

use std::error::Error;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

use super::report::{RequestLogReport, SecondReport};
use crate::plot::{LABEL_AREA_PX, LEGEND_LINE_PX, MARGIN_PX, PlotError, SIZE_PX};

const ORANGE: RGBColor = RGBColor(230, 140, 0);

/// A line of the plot: its label, its colour and its value for a second.
type Series = (&'static str, RGBColor, fn(&SecondReport) -> u64);

const SERIES: [Series; 3] = [
    ("whole answers", BLUE, |second| second.complete),
    ("broken answers", ORANGE, |second| second.broken),
    ("given up", RED, |second| second.given_up),
];

impl RequestLogReport {
    /// Draws the number of requests by outcome for each second, and returns the SVG document.
    pub fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| PlotError::new(error.as_ref()))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error>> {
        let last = self.seconds.keys().last().copied().unwrap_or(1).max(1);
        let values = |second: &SecondReport| SERIES.map(|(_, _, value)| value(second));
        let highest = self.seconds.values().flat_map(values).max().unwrap_or(1).max(1);
        let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Requests by second", ("sans-serif", 16))
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0..last, 0..highest)?;
        chart.configure_mesh().x_desc("seconds").y_desc("requests").draw()?;
        for (label, colour, value) in SERIES {
            let points = self.seconds.iter().map(|(second, report)| (*second, value(report)));
            let line = LineSeries::new(points, colour.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], colour);
            chart.draw_series(line)?.label(label).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}
