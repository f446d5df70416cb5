//! Policy measurements and slopes: prints JSON lines.

mod burn;
mod membership;
mod peer_link;

/// Seed of all measurements.
const SEED: u64 = 1;

fn main() {
    burn::run(SEED);
    membership::run(SEED);
}
