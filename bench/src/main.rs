//! Policy measurements and slopes: prints JSON lines.
//!
//! `cargo run --release -p pomelostack-bench -- CASE [--seed N]`; the same seed gives the same
//! decisions, and the same lines where they hold no measured times.

mod answer_memory;
mod burn;
mod claims;
mod config_fold;
mod crash_containment;
mod evacuation;
mod front_door;
mod membership;
mod peer_link;

use argh::FromArgs;

/// Measure one case and print JSON lines.
#[derive(FromArgs)]
struct BenchArguments {
    /// case: answer-memory, burn, claims, config-fold, crash-containment, evacuation, front-door or
    /// membership
    #[argh(positional)]
    case: BenchCase,

    /// seed of the generators (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// What can be measured.
#[derive(Clone, Copy, Debug)]
enum BenchCase {
    AnswerMemory,
    Burn,
    Claims,
    ConfigFold,
    CrashContainment,
    Evacuation,
    FrontDoor,
    Membership,
}

impl argh::FromArgValue for BenchCase {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "answer-memory" => Ok(Self::AnswerMemory),
            "burn" => Ok(Self::Burn),
            "claims" => Ok(Self::Claims),
            "config-fold" => Ok(Self::ConfigFold),
            "crash-containment" => Ok(Self::CrashContainment),
            "evacuation" => Ok(Self::Evacuation),
            "front-door" => Ok(Self::FrontDoor),
            "membership" => Ok(Self::Membership),
            _ => Err(format!("no case is named {value}")),
        }
    }
}

fn main() {
    let arguments: BenchArguments = argh::from_env();
    let seed = arguments.seed;
    match arguments.case {
        BenchCase::AnswerMemory => answer_memory::run(seed),
        BenchCase::Burn => burn::run(seed),
        BenchCase::Claims => claims::run(seed),
        BenchCase::ConfigFold => config_fold::run(seed),
        BenchCase::CrashContainment => crash_containment::run(seed),
        BenchCase::Evacuation => evacuation::run(seed),
        BenchCase::FrontDoor => front_door::run(),
        BenchCase::Membership => membership::run(seed),
    }
}
