//! Benchmarks of policies and costs. Results are printed as JSON lines.
//!
//! Run with `cargo run --release -p pomelostack-bench -- CASE [--seed N]`. The same seed gives the
//! same decisions, and the same lines except for measured times and memory.

mod answer_memory;
mod burn;
mod claims;
mod config_fold;
mod crash_containment;
mod decision_cost;
mod evacuation;
mod front_door;
mod gateway_cost;
mod limits;
mod membership;
mod peer_link;
mod routing;
mod summary_cost;

use anyhow::Context as _;
use argh::FromArgs;

/// Measure one case and print JSON lines.
#[derive(FromArgs)]
struct BenchArguments {
    /// name of the case; without one the names are listed
    #[argh(positional)]
    case: Option<String>,

    /// seed of the generators (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// A benchmark case: its name, and the function that runs it with a seed and prints its lines.
struct BenchCase {
    name: &'static str,
    run: fn(u64),
}

/// All cases, sorted by name.
const CASES: &[BenchCase] = &[
    BenchCase { name: "answer-memory", run: answer_memory::run },
    BenchCase { name: "burn", run: burn::run },
    BenchCase { name: "claims", run: claims::run },
    BenchCase { name: "config-fold", run: config_fold::run },
    BenchCase { name: "crash-containment", run: crash_containment::run },
    BenchCase { name: "decision-cost", run: decision_cost::run },
    BenchCase { name: "evacuation", run: evacuation::run },
    BenchCase { name: "front-door", run: front_door::run },
    BenchCase { name: "gateway-cost", run: gateway_cost::run },
    BenchCase { name: "limits", run: limits::run },
    BenchCase { name: "membership", run: membership::run },
    BenchCase { name: "routing", run: routing::run },
    BenchCase { name: "summary-cost", run: summary_cost::run },
];

fn main() -> anyhow::Result<()> {
    let arguments: BenchArguments = argh::from_env();
    let Some(name) = arguments.case else {
        CASES.iter().for_each(|case| println!("{}", case.name));
        return Ok(());
    };
    let found = CASES.iter().find(|case| case.name == name);
    let case = found.with_context(|| format!("no case is named {name}"))?;
    (case.run)(arguments.seed);
    Ok(())
}
