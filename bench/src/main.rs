//! Policy measurements and slopes: prints JSON lines.

mod config_fold;
mod fleet;
mod membership;
mod peer_link;

/// Seed of every case.
const SEED: u64 = 1;

fn main() {
    config_fold::run(SEED);
    membership::run(SEED);
    fleet::run(SEED);
}
