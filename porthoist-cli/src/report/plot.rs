//! Plot of the report over time.

use super::LogReport;
use super::requests::ServiceSecond;
use plotters::prelude::*;
use std::path::Path;

/// Width of the plot and height of each service's chart, in pixels.
const WIDTH: u32 = 1_000;
const SERVICE_HEIGHT: u32 = 320;

/// A line of the plot: its name, color and value.
type PlotLine = (&'static str, RGBColor, fn(&ServiceSecond) -> u32);

const LINES: [PlotLine; 5] = [
    ("in time", RGBColor(0x1b, 0x7f, 0x3b), |row| row.in_time),
    ("late by a pause", RGBColor(0xd9, 0x8a, 0x00), |row| row.late_pause),
    ("late by the first event", RGBColor(0x8a, 0x5a, 0x00), |row| row.late_first),
    ("refused", RGBColor(0xc0, 0x22, 0x22), ServiceSecond::all_refused),
    ("broken off or left", RGBColor(0x44, 0x44, 0xaa), |row| row.broken_off + row.left),
];

/// Draws what callers got into an SVG file, with a chart for each service.
pub fn draw_report(path: &Path, report: &LogReport) -> Result<(), String> {
    draw(path, report).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(path: &Path, report: &LogReport) -> Result<(), Box<dyn std::error::Error>> {
    let charts = report.services.len().max(1);
    let root = SVGBackend::new(path, (WIDTH, SERVICE_HEIGHT * charts as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let end = report.services.values().filter_map(|seconds| seconds.keys().max()).max().copied().unwrap_or(1);
    for (area, (service, seconds)) in root.split_evenly((charts, 1)).iter().zip(&report.services) {
        let max_count = seconds.values().map(|row| row.admitted.max(row.all_refused())).max().unwrap_or(1);
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{service}: what requests got, by the second in which they came"),
                ("sans-serif", 15),
            )
            .margin(10)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0..end + 1, 0..max_count + 1)?;
        chart.configure_mesh().x_desc("time (s)").y_desc("requests").draw()?;
        for (name, color, value) in LINES {
            let points = (0..=end).map(|second| (second, seconds.get(&second).map_or(0, value)));
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2));
            chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?.label(name).legend(legend);
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
