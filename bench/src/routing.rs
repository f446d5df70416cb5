//! Measures tokens recomputed and time to first token of the router on workload traces, compared
//! with least-loaded routing.

use std::time::Duration;

use serde_json::json;
use testutils::trace_player::LocationSource;
use testutils::trace_player::PlayResult;
use testutils::trace_player::PlaySettings;
use testutils::trace_player::RouterKind;
use testutils::trace_player::lower_bound;
use testutils::trace_player::play;
use testutils::workload::WorkloadTrace;
use testutils::workload::gulfwind;
use testutils::workload::sulh;

/// Race starts in the Gulfwind trace, each with a burst of requests.
const RACE_STARTS: u32 = 15;
/// Length of the Sulh trace in seconds.
const SULH_SECONDS: u64 = 1_200;

/// Simulates both workload traces and prints one line for each case.
pub fn run(seed: u64) {
    for trace in [gulfwind(seed, RACE_STARTS), sulh(seed, SULH_SECONDS)] {
        let bound = lower_bound(&trace);
        for views in [1, 3] {
            let naive = run_one(&trace, PlaySettings::fresh(RouterKind::Naive, views, seed));
            let fresh = PlaySettings::fresh(RouterKind::Product, views, seed);
            print_case(&trace, "fresh", fresh, &naive, bound);
            let stale = PlaySettings::stale(RouterKind::Product, views, seed);
            print_case(&trace, "stale", stale, &naive, bound);
            if views > 1 {
                for (name, source) in [
                    ("own", LocationSource::OwnDispatches),
                    ("eager", LocationSource::Eager),
                    ("batched-1s", LocationSource::Batched(Duration::from_secs(1))),
                    ("batched-5s", LocationSource::Batched(Duration::from_secs(5))),
                ] {
                    let settings = PlaySettings { source, ..stale };
                    print_case(&trace, name, settings, &naive, bound);
                }
            }
        }
    }
}

fn run_one(trace: &WorkloadTrace, settings: PlaySettings) -> PlayResult {
    play(trace, settings).expect("names are valid")
}

fn print_case(
    trace: &WorkloadTrace,
    case: &str,
    settings: PlaySettings,
    naive: &PlayResult,
    bound: u64,
) {
    let ours = run_one(trace, settings);
    let ratio = |ours: u64, other: u64| (ours as f64 / other as f64 * 1e4).round() / 1e4;
    println!(
        "{}",
        json!({"case": "routing", "trace": trace.name, "requests": trace.requests.len(),
            "locations": case, "views": settings.views, "seed": settings.seed,
            "naive_tokens": naive.context_tokens, "tokens": ours.context_tokens,
            "ratio": ratio(ours.context_tokens, naive.context_tokens),
            "lower_bound": bound, "ratio_to_bound": ratio(ours.context_tokens, bound),
            "naive_p50_ms": naive.p50_ms, "p50_ms": ours.p50_ms,
            "naive_p95_ms": naive.p95_ms, "p95_ms": ours.p95_ms,
            "naive_p99_ms": naive.p99_ms, "p99_ms": ours.p99_ms,
            "answered": ours.answered, "view_messages": ours.view_messages})
    );
}
