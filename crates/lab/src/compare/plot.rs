//! Plots of a load sweep.

use crate::compare::PolicyReport;
use plotters::prelude::*;
use snafu::Snafu;
use std::path::Path;

/// A plot that could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("cannot draw `{file}`: {problem}"))]
pub struct PlotError {
    file: String,
    problem: String,
}

const SIZE: (u32, u32) = (900, 560);

const MARGIN: u32 = 12;

const LABEL_AREA: u32 = 70;

/// Draws one measure of each contender over the load.
///
/// # Errors
/// The file cannot be written.
pub fn plot_sweep(
    folder: &Path,
    title: &str,
    measure: &str,
    reports: &[PolicyReport],
) -> Result<(), PlotError> {
    let file = folder.join(format!("{title}-{measure}.svg"));
    draw(&file, title, measure, reports).map_err(|problem| PlotError {
        file: file.display().to_string(),
        problem,
    })
}

fn draw(file: &Path, title: &str, measure: &str, reports: &[PolicyReport]) -> Result<(), String> {
    let words = |error: &dyn std::fmt::Display| error.to_string();
    let loads = reports.iter().map(|report| report.load);
    let most_load = loads.fold(0.0_f64, f64::max);
    let values = reports.iter().map(|report| report.mean(measure));
    let most = values.fold(0.0_f64, f64::max);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| words(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..most_load * 1.05, 0.0..most * 1.05)
        .map_err(|error| words(&error))?;
    chart
        .configure_mesh()
        .x_desc("load, as a share of saturation")
        .y_desc(format!("{title}: {measure}"))
        .draw()
        .map_err(|error| words(&error))?;
    let mut names: Vec<&str> = reports.iter().map(|it| it.contender.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    for (place, name) in names.iter().enumerate() {
        let own = reports.iter().filter(|report| report.contender == *name);
        let points: Vec<(f64, f64)> = own.map(|it| (it.load, it.mean(measure))).collect();
        let color = Palette99::pick(place).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|error| words(&error))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|error| words(&error))?;
    area.present().map_err(|error| words(&error))
}
