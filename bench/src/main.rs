//! Policy measurements and slopes: prints JSON lines.

mod decision_cost;
mod limits;
mod membership;
mod peer_link;
mod routing;

use argh::FromArgs;

/// Measure decisions and print JSON lines.
#[derive(FromArgs)]
struct BenchArgs {
    /// measurement to run: membership, routing, limits or decision_cost; all if none is named
    #[argh(positional)]
    name: Option<String>,
    /// seed of all random choices (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() {
    let args: BenchArgs = argh::from_env();
    let wanted = |name: &str| args.name.as_deref().is_none_or(|wanted| wanted == name);
    if wanted("membership") {
        membership::run(args.seed);
    }
    if wanted("decision_cost") {
        decision_cost::run(args.seed);
    }
    if wanted("limits") {
        limits::run(args.seed);
    }
    if wanted("routing") {
        routing::run(args.seed);
    }
}
