//! Draws load and capacity over a day of each profile into `docs/plots`.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use testutils::fleet_day::DayProfile;
use testutils::fleet_day::FleetDay;

use crate::fleet::play_planner;

const PLOT_SIZE: (u32, u32) = (900, 320);
/// Directory of the plots, from the root of the workspace.
const PLOT_DIRECTORY: &str = "docs/plots";

/// Draws one file for each profile.
pub fn run(seed: u64) {
    let profiles = [(DayProfile::Gulfwind, "gulfwind"), (DayProfile::Sulh, "sulh")];
    for (profile, name) in profiles {
        let path = Path::new(PLOT_DIRECTORY).join(format!("fleet-{name}.svg"));
        if let Err(error) = draw(profile, seed, &path) {
            eprintln!("fleet-plot: {}: {error}", path.display());
        }
    }
}

fn draw(profile: DayProfile, seed: u64, path: &Path) -> Result<(), Box<dyn Error>> {
    let day = FleetDay::new(profile, seed)?;
    let record = play_planner(&day)?;
    let hours = |minute: usize| minute as f64 / 60.0;
    let loads: Vec<(f64, f64)> =
        day.rates.iter().enumerate().map(|(m, &rate)| (hours(m), rate as f64 / 1_000.0)).collect();
    let capacities: Vec<(f64, f64)> =
        record.capacities.iter().enumerate().map(|(m, &capacity)| (hours(m), capacity)).collect();
    let top = capacities.iter().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    std::fs::create_dir_all(PLOT_DIRECTORY)?;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .caption("load (blue) and capacity (red)", ("sans-serif", 16))
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..24.0, 0.0..top)?;
    chart.configure_mesh().x_desc("hour of the day").y_desc("requests per second").draw()?;
    chart.draw_series(LineSeries::new(loads, &BLUE))?;
    chart.draw_series(LineSeries::new(capacities, &RED))?;
    area.present()?;
    Ok(())
}
