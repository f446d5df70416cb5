//! Requests that are unfinished when their host is told to stop.

use std::time::Duration;

use rustix::process::Signal;
use testutils::bounded_wait::wait_for;
use testutils::logged_gateway::LoggedGateway;
use testutils::raw_caller::RawCaller;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
/// Grace period of hosts that need not finish anything, in seconds.
const SHORT_GRACE_S: u64 = 3;

/// A request that is still running when its host exits has a closing line.
#[test]
fn unfinished_at_exit() {
    let mut gateway =
        LoggedGateway::start(PROGRAM, 100, SHORT_GRACE_S, |_| {}).expect("valid in tests");
    gateway.standin.silence_replica(0, Duration::from_secs(60));
    gateway.standin.silence_replica(1, Duration::from_secs(60));
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    caller.request("POST", "/book/1", "r1").expect("valid in tests");
    wait_for(|| gateway.runs_of("r1") == 1);
    gateway.process.signal(Signal::TERM).expect("valid in tests");
    assert!(gateway.process.wait_for_exit().expect("valid in tests"));
    let ends = gateway.ends_of("r1");
    assert!(ends.len() == 1 && ends[0].contains(" code=309 "), "{ends:?}");
}
