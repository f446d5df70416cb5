//! Connections of callers: which ones a host closes, when, and what its log says.

use std::time::Duration;

use serde_json::Value;
use testutils::bounded_wait::wait_for;
use testutils::logged_gateway::LoggedGateway;
use testutils::raw_caller::RawCaller;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
const GRACE_S: u64 = 8;

fn start(number: u8, edit: impl FnOnce(&mut Value)) -> LoggedGateway {
    LoggedGateway::start(PROGRAM, number, GRACE_S, edit).expect("valid in tests")
}

fn answered(caller: &mut RawCaller, id: &str) {
    caller.request("GET", "/look/1", id).expect("valid in tests");
    let status = caller.response().map(|response| response.status);
    assert_eq!(status.ok(), Some(200), "{id} has no answer");
}

/// A request whose caller leaves before the response has one closing line.
#[test]
fn caller_left() {
    let gateway = start(110, |_| {});
    gateway.standin.silence_replica(0, Duration::from_secs(60));
    gateway.standin.silence_replica(1, Duration::from_secs(60));
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    caller.request("POST", "/book/1", "r1").expect("valid in tests");
    wait_for(|| gateway.runs_of("r1") == 1);
    drop(caller);
    wait_for(|| !gateway.ends_of("r1").is_empty());
    let ends = gateway.ends_of("r1");
    assert!(ends.len() == 1 && ends[0].contains(" code=306 "), "{ends:?}");
}

/// An answered request has one closing line.
#[test]
fn answered_once() {
    let gateway = start(111, |_| {});
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    answered(&mut caller, "r1");
    caller.request("GET", "/look/1", "r2").expect("valid in tests");
    caller.response().expect("valid in tests");
    wait_for(|| !gateway.ends_of("r2").is_empty());
    let ends = gateway.ends_of("r1");
    assert!(ends.len() == 1 && ends[0].contains(" code=0 "), "{ends:?}");
}
