//! Compares the router with least-loaded routing on short traces: tokens computed and latency.

use rstest::rstest;
use testutils::trace_player::PlayResult;
use testutils::trace_player::PlaySettings;
use testutils::trace_player::RouterKind;
use testutils::trace_player::play;
use testutils::workload::WorkloadTrace;
use testutils::workload::gulfwind;
use testutils::workload::sulh;

const SEED: u64 = 1;
/// Starts in the short trace. The courses of its second half also occur for the first time.
const STARTS: u32 = 4;
const SULH_SECONDS: u64 = 300;
/// Number of entry hosts. Each routes a part of the requests from its own view of the servers.
const VIEWS: usize = 3;

fn run(trace: &WorkloadTrace, settings: PlaySettings) -> PlayResult {
    let result = play(trace, settings).expect("names are valid");
    assert_eq!(result.answered, trace.requests.len(), "every request is answered");
    result
}

fn fresh(trace: &WorkloadTrace, router: RouterKind) -> PlayResult {
    run(trace, PlaySettings::fresh(router, VIEWS, SEED))
}

#[test]
fn gulfwind_targets() {
    let trace = gulfwind(SEED, STARTS);
    let baseline = fresh(&trace, RouterKind::Naive);
    let routed = fresh(&trace, RouterKind::Product);
    let ratio = routed.context_tokens as f64 / baseline.context_tokens as f64;
    assert!(ratio <= 0.35, "tokens are {ratio} of least-loaded");
    assert!(routed.p95_ms <= baseline.p95_ms, "{routed:?} against {baseline:?}");
}

#[test]
fn sulh_targets() {
    let trace = sulh(SEED, SULH_SECONDS);
    let baseline = fresh(&trace, RouterKind::Naive);
    let routed = fresh(&trace, RouterKind::Product);
    assert!(routed.context_tokens <= baseline.context_tokens, "{routed:?} against {baseline:?}");
    assert!(routed.p50_ms <= baseline.p50_ms, "{routed:?} against {baseline:?}");
    assert!(routed.p95_ms <= baseline.p95_ms, "{routed:?} against {baseline:?}");
    assert!(routed.p99_ms <= baseline.p99_ms, "{routed:?} against {baseline:?}");
}

#[rstest]
#[case::gulfwind(gulfwind(SEED, STARTS))]
#[case::sulh(sulh(SEED, SULH_SECONDS))]
fn stale_inputs(#[case] trace: WorkloadTrace) {
    let fresh = fresh(&trace, RouterKind::Product);
    let stale = run(&trace, PlaySettings::stale(RouterKind::Product, VIEWS, SEED));
    let ratio = stale.context_tokens as f64 / fresh.context_tokens as f64;
    assert!(ratio <= 1.10, "tokens are {ratio} of those with fresh events");
}

#[test]
fn same_seed() {
    let trace = gulfwind(SEED, 1);
    let settings = PlaySettings::stale(RouterKind::Product, VIEWS, SEED);
    assert_eq!(run(&trace, settings), run(&trace, settings));
}
