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
            let least_loaded = run_one(&trace, PlaySettings::fresh(RouterKind::Naive, views, seed));
            let fresh = PlaySettings::fresh(RouterKind::Product, views, seed);
            print_case(&trace, "fresh", fresh, &least_loaded, bound);
            let stale = PlaySettings::stale(RouterKind::Product, views, seed);
            print_case(&trace, "stale", stale, &least_loaded, bound);
            if views > 1 {
                for (name, source) in [
                    ("own", LocationSource::OwnDispatches),
                    ("eager", LocationSource::Eager),
                    ("batched-1s", LocationSource::Batched(Duration::from_secs(1))),
                    ("batched-5s", LocationSource::Batched(Duration::from_secs(5))),
                ] {
                    let settings = PlaySettings { source, ..stale };
                    print_case(&trace, name, settings, &least_loaded, bound);
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
    least_loaded: &PlayResult,
    bound: u64,
) {
    let result = run_one(trace, settings);
    let ratio = |tokens: u64, other: u64| (tokens as f64 / other as f64 * 1e4).round() / 1e4;
    println!(
        "{}",
        json!({"case": "routing", "trace": trace.name, "requests": trace.requests.len(),
            "locations": case, "views": settings.views, "seed": settings.seed,
            "naive_tokens": least_loaded.context_tokens, "tokens": result.context_tokens,
            "ratio": ratio(result.context_tokens, least_loaded.context_tokens),
            "lower_bound": bound, "ratio_to_bound": ratio(result.context_tokens, bound),
            "naive_p50_ms": least_loaded.p50_ms, "p50_ms": result.p50_ms,
            "naive_p95_ms": least_loaded.p95_ms, "p95_ms": result.p95_ms,
            "naive_p99_ms": least_loaded.p99_ms, "p99_ms": result.p99_ms,
            "answered": result.answered, "view_messages": result.view_messages})
    );
}
