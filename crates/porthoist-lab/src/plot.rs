//! Plots of the reports as SVG.

use plotters::prelude::*;
use std::path::Path;

/// One line of a plot.
#[derive(Debug, Clone)]
pub struct PlotSeries {
    /// Name in the legend.
    pub name: String,
    /// Points of the line.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
#[derive(Debug, Clone)]
pub struct PlotLabels {
    /// Title.
    pub title: String,
    /// Label of the horizontal axis, with its unit.
    pub x_label: String,
    /// Label of the vertical axis, with its unit.
    pub y_label: String,
}

const SIZE_PIXELS: (u32, u32) = (900, 540);

/// Draws lines into an SVG file.
pub fn draw_lines(path: &Path, labels: &PlotLabels, series: &[PlotSeries]) -> Result<(), String> {
    draw(path, labels, series).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(path: &Path, labels: &PlotLabels, series: &[PlotSeries]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || series.iter().flat_map(|one_series| one_series.points.iter().copied());
    let x_max = points().map(|point| point.0).fold(0.0, f64::max);
    let x_min = points().map(|point| point.0).fold(x_max, f64::min);
    let y_max = points().map(|point| point.1).fold(0.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&root)
        .caption(&labels.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(x_min..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(&labels.x_label).y_desc(&labels.y_label).draw()?;
    for (index, one_series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(one_series.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2));
        chart.draw_series(line)?.label(&one_series.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Creates one series per name.
pub fn named_series(
    names: &[&'static str],
    points: impl Fn(&'static str) -> Vec<(f64, f64)>,
) -> Vec<PlotSeries> {
    let series = names.iter().map(|name| PlotSeries { name: (*name).to_owned(), points: points(name) });
    series.collect()
}
