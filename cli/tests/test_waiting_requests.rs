//! Requests that wait at their host because every server is full.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::StoreMode;
use testutils::gateway_process::read_metrics;
use testutils::logged_gateway::LoggedGateway;
use testutils::raw_caller::RawCaller;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
const GRACE_S: u64 = 8;
/// Latency goal that no test reaches, in milliseconds.
const LONG_GOAL_MS: u64 = 60_000;
/// Latency goal that passes while the servers are full, in milliseconds.
const SHORT_GOAL_MS: u64 = 400;

/// Starts a host whose two servers accept one request each, and fills them for a while.
fn full_gateway(number: u8, goal_ms: u64, full: Duration) -> (LoggedGateway, [RawCaller; 2]) {
    let edit = |document: &mut Value| {
        document["services"][0]["max-conns"] = 2.into();
        for route in document["routes"].as_array_mut().into_iter().flatten() {
            route["latency-goal-ms"] = goal_ms.into();
        }
    };
    let gateway = LoggedGateway::start(PROGRAM, number, GRACE_S, edit).expect("valid in tests");
    (0..2).for_each(|index| gateway.standin.silence_replica(index, full));
    let callers = ["r1", "r2"].map(|id| send(&gateway, id));
    wait_for(|| gateway.runs_of("r1") + gateway.runs_of("r2") == 2);
    (gateway, callers)
}

fn send(gateway: &LoggedGateway, id: &str) -> RawCaller {
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    caller.request("POST", "/book/1", id).expect("valid in tests");
    caller
}

fn waiting(gateway: &LoggedGateway) -> Option<i64> {
    let metrics = read_metrics(&gateway.ip);
    let prefix = "pomelostack_waiting_requests{rank=\"0\"} ";
    metrics.lines().find_map(|line| line.strip_prefix(prefix)?.parse().ok())
}

/// What happens while a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    StoreDown,
    SettingsReload,
}

/// A call that may run once found every server full and was refused, though one was about to be free.
#[rstest]
#[case::undisturbed(120, Disturbance::Nothing)]
#[case::store_down(124, Disturbance::StoreDown)]
#[case::settings_reload(125, Disturbance::SettingsReload)]
fn room_comes(#[case] number: u8, #[case] disturbance: Disturbance) {
    let (gateway, callers) = full_gateway(number, LONG_GOAL_MS, Duration::from_millis(1_500));
    let mut third = send(&gateway, "r3");
    wait_for(|| waiting(&gateway) == Some(1));
    match disturbance {
        Disturbance::Nothing => {}
        Disturbance::StoreDown => gateway.standin.set_store_mode(StoreMode::Refuse),
        Disturbance::SettingsReload => {
            gateway.process.signal(Signal::HUP).expect("valid in tests");
        }
    }
    assert_eq!(gateway.runs_of("r3"), 0);
    let statuses = callers.map(|mut caller| caller.response().map(|response| response.status));
    assert!(statuses.iter().all(|status| matches!(status, Ok(200))), "{statuses:?}");
    assert_eq!(third.response().map(|response| response.status).ok(), Some(200));
    assert_eq!(gateway.runs_of("r3"), 1);
    wait_for(|| gateway.lines("event=wait_ended request=r3 ").len() == 1);
}

/// A request waited until its deadline for servers that stayed full.
#[test]
fn goal_passes() {
    let (gateway, _callers) = full_gateway(121, SHORT_GOAL_MS, Duration::from_secs(60));
    let begin = Instant::now();
    let mut third = send(&gateway, "r3");
    assert_eq!(third.response().map(|response| response.status).ok(), Some(503));
    assert!(begin.elapsed() < Duration::from_secs(8), "{:?}", begin.elapsed());
    wait_for(|| gateway.ends_of("r3").len() == 1);
    let ends = gateway.ends_of("r3");
    assert!(ends[0].contains(" code=214 ") || ends[0].contains(" code=215 "), "{ends:?}");
    assert_eq!(gateway.runs_of("r3"), 0);
}

/// What ends a wait before there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    HostStops,
    CallerLeaves,
}

/// A request that waited kept its place, or its host, when its caller left or the host was stopped.
#[rstest]
#[case::host_stops(122, WaitEnd::HostStops, " code=205 ")]
#[case::caller_leaves(123, WaitEnd::CallerLeaves, " code=209 ")]
fn wait_ends(#[case] number: u8, #[case] end: WaitEnd, #[case] code: &str) {
    let (gateway, _callers) = full_gateway(number, LONG_GOAL_MS, Duration::from_secs(60));
    let mut third = send(&gateway, "r3");
    wait_for(|| waiting(&gateway) == Some(1));
    match end {
        WaitEnd::HostStops => {
            gateway.process.signal(Signal::TERM).expect("valid in tests");
            assert_eq!(third.response().map(|response| response.status).ok(), Some(503));
        }
        WaitEnd::CallerLeaves => third.reset().expect("valid in tests"),
    }
    wait_for(|| gateway.ends_of("r3").len() == 1);
    assert!(gateway.ends_of("r3")[0].contains(code), "{:?}", gateway.ends_of("r3"));
    wait_for(|| waiting(&gateway) == Some(0));
    assert_eq!(gateway.runs_of("r3"), 0);
}
