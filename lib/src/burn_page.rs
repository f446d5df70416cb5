//! The burn report as one self-contained HTML page with plots.

use std::fmt::Write as _;

use plotters::prelude::*;
use thiserror::Error;

use crate::burn_report::BurnReport;
use crate::burn_report::ServiceRow;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 240);

/// A plot of the page cannot be drawn.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("cannot draw burn plot: {0}")]
pub struct PageError(pub String);

/// Result of rendering a page.
pub type Result<T> = std::result::Result<T, PageError>;

/// Returns the page, which loads no external resources.
pub fn render_page(report: &BurnReport) -> Result<String> {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}\
         </style></head>\n<body><h1>Service-level burn</h1>\n<pre>",
    );
    page.push_str(&escape(&report.table()));
    page.push_str("</pre>\n");
    for row in &report.services {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "<h2>{}</h2>", escape(row.service.as_str()));
        page.push_str(&draw_series(row)?);
        page.push('\n');
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn draw_series(row: &ServiceRow) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        plot(&area, row).map_err(|error| PageError(error.to_string()))?;
    }
    Ok(svg)
}

type PlotResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn plot(area: &DrawingArea<SVGBackend, plotters::coord::Shift>, row: &ServiceRow) -> PlotResult {
    let points: Vec<(f64, f64)> = row
        .series
        .iter()
        .filter_map(|point| Some((-(point.minutes_ago as f64) / 60.0, point.burn_rate?)))
        .collect();
    let top = points.iter().map(|point| point.1).fold(2.0, f64::max) * 1.1;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(-6.0..0.0, 0.0..top)?;
    chart.configure_mesh().x_desc("hours").y_desc("burn rate").draw()?;
    chart.draw_series(LineSeries::new([(-6.0, 1.0), (0.0, 1.0)], &RED))?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
