//! Measures goodput and fairness of admission control under overload, compared with a FIFO queue.

use serde_json::json;
use testutils::overload_simulator::AdmissionPolicy;
use testutils::overload_simulator::TeamLoad;
use testutils::overload_simulator::TeamResult;
use testutils::overload_simulator::capacity;
use testutils::overload_simulator::simulate_overload;

/// Simulated time in seconds.
const SECONDS: u64 = 120;

/// Simulates two overloads and prints one line for each.
pub fn run(seed: u64) {
    let capacity_per_s = capacity(SECONDS) / SECONDS as f64;
    let double = [
        TeamLoad { name: "a", rate: capacity_per_s },
        TeamLoad { name: "b", rate: capacity_per_s },
    ];
    print_case("double_load", &double, seed);
    // The first team sends a fifth of capacity, and the other ten times as much.
    let modest = capacity_per_s / 5.0;
    let tenfold = [
        TeamLoad { name: "modest", rate: modest },
        TeamLoad { name: "greedy", rate: modest * 10.0 },
    ];
    print_case("tenfold_team", &tenfold, seed);
}

fn print_case(case: &str, teams: &[TeamLoad], seed: u64) {
    let simulate = |policy, teams: &[TeamLoad]| {
        simulate_overload(policy, teams, SECONDS, seed).expect("names are valid")
    };
    let (fifo, fair_share) =
        (simulate(AdmissionPolicy::Fifo, teams), simulate(AdmissionPolicy::FairShare, teams));
    let alone = simulate(AdmissionPolicy::FairShare, &teams[..1]);
    let goodput = |results: &[TeamResult]| {
        results.iter().map(|result| result.in_time).sum::<usize>() as f64 / capacity(SECONDS)
    };
    println!(
        "{}",
        json!({"case": case, "seed": seed, "seconds": SECONDS,
            "naive_goodput": goodput(&fifo), "goodput": goodput(&fair_share),
            "first_team_alone_p95_ms": alone[0].p95_wait_ms,
            "naive_first_team_p95_ms": fifo[0].p95_wait_ms,
            "first_team_p95_ms": fair_share[0].p95_wait_ms,
            "first_team_sent": fair_share[0].sent, "first_team_in_time": fair_share[0].in_time,
            "first_team_refused": fair_share[0].refused,
            "others_refused": fair_share[1..].iter().map(|result| result.refused).sum::<usize>()})
    );
}
