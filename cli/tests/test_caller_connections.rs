//! Connections of callers: which ones a host closes, when, and what its log says.

use std::thread::sleep;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::DeploymentStandin;
use testutils::gateway_process::read_level;
use testutils::logged_gateway::LoggedGateway;
use testutils::raw_caller::RawCaller;
use testutils::raw_caller::request_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
const GRACE_S: u64 = 8;
/// A short idle limit in milliseconds.
const IDLE_MS: u64 = 1_000;
/// A time beyond the short idle limit.
const PAST_IDLE: Duration = Duration::from_millis(IDLE_MS + IDLE_MS / 2);
/// Callers of a host that is stopped, and how often it is stopped.
const CALLERS: usize = 20;
const STALLS: usize = 8;

fn start(number: u8, edit: impl FnOnce(&mut Value)) -> LoggedGateway {
    LoggedGateway::start(PROGRAM, number, GRACE_S, edit).expect("valid in tests")
}

fn set_idle_limit(document: &mut Value, millis: u64) {
    document["limits"]["idle-timeout-ms"] = millis.into();
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
    assert!(gateway.lines("event=caller_connection_failed").is_empty());
}

/// The log says what ended a connection during a request, and says nothing of idle ones.
#[test]
fn reset_during_request() {
    let gateway = start(112, |document| set_idle_limit(document, IDLE_MS));
    let mut idle = RawCaller::connect(&gateway.ip).expect("valid in tests");
    answered(&mut idle, "r1");
    assert_eq!(idle.read_to_close().expect("valid in tests"), 0);
    gateway.standin.silence_replica(0, Duration::from_secs(60));
    gateway.standin.silence_replica(1, Duration::from_secs(60));
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    caller.request("POST", "/book/1", "r2").expect("valid in tests");
    wait_for(|| gateway.runs_of("r2") == 1);
    caller.reset().expect("valid in tests");
    wait_for(|| !gateway.lines("event=caller_connection_failed").is_empty());
    let failures = gateway.lines("event=caller_connection_failed");
    assert!(failures.len() == 1 && failures[0].contains("caller="), "{failures:?}");
}

/// A host that was stopped for longer than the idle limit answers what callers sent meanwhile.
#[test]
fn sent_during_stall() {
    let gateway = start(113, |document| set_idle_limit(document, IDLE_MS));
    let mut unanswered = Vec::new();
    for round in 0..STALLS {
        let callers = (0..CALLERS).map(|_| RawCaller::connect(&gateway.ip));
        let mut callers: Vec<RawCaller> =
            callers.map(|caller| caller.expect("valid in tests")).collect();
        for caller in &mut callers {
            answered(caller, "first");
        }
        gateway.process.signal(Signal::STOP).expect("valid in tests");
        for caller in &mut callers {
            caller.request("GET", "/look/1", "late").expect("valid in tests");
        }
        sleep(PAST_IDLE);
        gateway.process.signal(Signal::CONT).expect("valid in tests");
        let failed = callers.iter_mut().filter_map(|caller| caller.response().err());
        unanswered.extend(failed.map(|error| format!("round {round}: {error}")));
    }
    assert!(unanswered.is_empty(), "{unanswered:?}");
}

/// A raised idle limit applies to open connections.
#[test]
fn raised_idle_limit() {
    let gateway = start(114, |document| set_idle_limit(document, 2 * IDLE_MS));
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    answered(&mut caller, "r1");
    let mut document = DeploymentStandin::config_document(2);
    set_idle_limit(&mut document, 60_000);
    gateway.standin.publish_document(&document);
    wait_for(|| read_level(&gateway.ip, "config_version") == Some(2));
    answered(&mut caller, "r2");
    sleep(PAST_IDLE + PAST_IDLE);
    answered(&mut caller, "r3");
}

/// Idle connections and heads that don't become complete are closed.
#[test]
fn limits_hold() {
    let gateway = start(115, |document| {
        set_idle_limit(document, IDLE_MS);
        document["limits"]["header-timeout-ms"] = IDLE_MS.into();
    });
    let mut fresh = RawCaller::connect(&gateway.ip).expect("valid in tests");
    let mut kept = RawCaller::connect(&gateway.ip).expect("valid in tests");
    answered(&mut kept, "r1");
    let mut slow = RawCaller::connect(&gateway.ip).expect("valid in tests");
    let text = request_text("GET", "/look/1", "slow");
    slow.send(&text[..text.len() / 2]).expect("valid in tests");
    for caller in [&mut fresh, &mut kept, &mut slow] {
        assert_eq!(caller.read_to_close().expect("valid in tests"), 0);
    }
    assert_eq!(gateway.runs_of("slow"), 0);
}
