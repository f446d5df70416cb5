//! Goodput and fairness of the admission gate under overload, against a plain queue.

use serde_json::json;
use testutils::overload_simulator::AdmissionPolicy;
use testutils::overload_simulator::TeamLoad;
use testutils::overload_simulator::TeamResult;
use testutils::overload_simulator::capacity;
use testutils::overload_simulator::simulate_overload;

const SECONDS: u64 = 120;

/// Plays both overloads and prints one line for each.
pub fn run(seed: u64) {
    let half = capacity(SECONDS) / SECONDS as f64;
    let double = [TeamLoad { name: "a", rate: half }, TeamLoad { name: "b", rate: half }];
    print_case("double_load", &double, seed);
    // The modest team sends a fifth of capacity, and the other ten times that.
    let modest = half / 5.0;
    let tenfold = [
        TeamLoad { name: "modest", rate: modest },
        TeamLoad { name: "greedy", rate: modest * 10.0 },
    ];
    print_case("tenfold_team", &tenfold, seed);
}

fn print_case(case: &str, teams: &[TeamLoad], seed: u64) {
    let play = |kind, teams: &[TeamLoad]| {
        simulate_overload(kind, teams, SECONDS, seed).expect("names are valid")
    };
    let (naive, ours) =
        (play(AdmissionPolicy::Fifo, teams), play(AdmissionPolicy::FairShare, teams));
    let alone = play(AdmissionPolicy::FairShare, &teams[..1]);
    let goodput = |results: &[TeamResult]| {
        results.iter().map(|result| result.in_time).sum::<usize>() as f64 / capacity(SECONDS)
    };
    println!(
        "{}",
        json!({"case": case, "seed": seed, "seconds": SECONDS,
            "naive_goodput": goodput(&naive), "goodput": goodput(&ours),
            "first_team_alone_p95_ms": alone[0].p95_wait_ms,
            "naive_first_team_p95_ms": naive[0].p95_wait_ms,
            "first_team_p95_ms": ours[0].p95_wait_ms,
            "first_team_sent": ours[0].sent, "first_team_in_time": ours[0].in_time,
            "first_team_refused": ours[0].refused,
            "others_refused": ours[1..].iter().map(|result| result.refused).sum::<usize>()})
    );
}
