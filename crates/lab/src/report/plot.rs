//! SVG plots of experiment results.

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::report::result_file::ExperimentResult;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (760, 360);

/// Line and bar colours that remain distinguishable with red-green colour blindness.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
    RGBColor(204, 121, 167),
];

/// Latency figures of a phase, one bar each.
const QUANTILES: [&str; 3] = ["p50_ms", "p99_ms", "p999_ms"];

/// Error while drawing or writing a plot.
#[derive(Clone, Debug, Display, Error)]
#[display("cannot draw the plot: {cause}")]
pub struct PlotError {
    /// Error message of the plotting library.
    #[error(not(source))]
    cause: String,
}

fn plot_error(error: impl ToString) -> PlotError {
    PlotError { cause: error.to_string() }
}

/// Draws the latency quantiles of each phase as bars. Returns false without a file if there are no phases.
pub fn plot_latency(result: &ExperimentResult, path: &Path) -> Result<bool, PlotError> {
    let phases = result.phases();
    if phases.is_empty() {
        return Ok(false);
    }
    let value = |phase: &str, quantile: &str| {
        result.figures.get(&format!("{phase}.all.{quantile}")).copied().unwrap_or_default()
    };
    let highest = phases.iter().flat_map(|phase| QUANTILES.map(|quantile| value(phase, quantile)));
    let highest = highest.fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: latency by phase, ms", result.experiment), ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..phases.len() as f64, 0.0..highest)
        .map_err(plot_error)?;
    let name_of = |place: &f64| {
        let phase = phases.get(place.floor() as usize).copied().unwrap_or_default();
        if (place.fract() - 0.5).abs() < 0.01 { phase.to_owned() } else { String::new() }
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(phases.len() * 2 + 1)
        .x_label_formatter(&name_of)
        .draw()
        .map_err(plot_error)?;
    for (index, quantile) in QUANTILES.iter().enumerate() {
        let colour = COLOURS[index];
        let bars = phases.iter().enumerate().map(|(place, phase)| {
            let left = place as f64 + 0.15 + 0.24 * index as f64;
            Rectangle::new([(left, 0.0), (left + 0.22, value(phase, quantile))], colour.filled())
        });
        chart
            .draw_series(bars)
            .map_err(plot_error)?
            .label(quantile.trim_end_matches("_ms"))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)?;
    Ok(true)
}

/// Draws the runs per second as lines: by service if one of them is the new version of another (`SERVICE-next`),
/// otherwise by failure domain. Returns false without a file if there are fewer than two lines.
pub fn plot_traffic(result: &ExperimentResult, path: &Path) -> Result<bool, PlotError> {
    let services = result.traffic(|service, _| service.to_owned());
    let is_move = services.keys().any(|service| service.ends_with("-next"));
    let domains = result.traffic(|_, domain| domain.to_owned());
    let groups = if is_move { services } else { domains };
    if groups.len() < 2 {
        return Ok(false);
    }
    draw_lines(&format!("{}: runs a second", result.experiment), &groups, path)?;
    Ok(true)
}

fn draw_lines(
    caption: &str,
    groups: &BTreeMap<String, Vec<(f64, f64)>>,
    path: &Path,
) -> Result<(), PlotError> {
    let points = || groups.values().flatten();
    let last = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last, 0.0..highest)
        .map_err(plot_error)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(plot_error)?;
    for (index, (group, line)) in groups.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))
            .map_err(plot_error)?
            .label(group)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)
}
