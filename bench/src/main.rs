//! Policy measurements and slopes: prints JSON lines.

mod config_fold;
mod fleet;
mod fleet_plot;
mod membership;
mod peer_link;

/// Seed of every case.
const SEED: u64 = 1;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("fleet") => return fleet::run(SEED),
        Some("fleet-plot") => return fleet_plot::run(SEED),
        _ => {}
    }
    config_fold::run(SEED);
    membership::run(SEED);
    fleet::run(SEED);
}
