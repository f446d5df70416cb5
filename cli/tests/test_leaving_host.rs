//! Requests that are unfinished when their host is told to stop.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::gateway::shutdown_plan::BALANCER_DELAY;
use rustix::process::Signal;
use testutils::bounded_wait::wait_for;
use testutils::logged_gateway::LoggedGateway;
use testutils::raw_caller::RawCaller;
use testutils::raw_caller::request_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
/// Grace period of hosts that need not finish anything, in seconds.
const SHORT_GRACE_S: u64 = 3;
/// Grace period of hosts that finish what they serve, in seconds.
const LONG_GRACE_S: u64 = 12;
/// Grace period that is shorter than the time limit of routes, in seconds.
const MIDDLE_GRACE_S: u64 = 6;
/// Size of an answer that does not fit into the buffers of a connection.
const ANSWER_BYTES: usize = 12_000_000;
/// Time for which a caller reads slowly after the signal; the load balancer's delay ends within it.
const SLOW_READING: Duration = Duration::from_millis(3_500);

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

/// A caller that reads slowly receives its whole answer within the grace period.
#[test]
fn slow_reader() {
    let mut gateway =
        LoggedGateway::start(PROGRAM, 101, LONG_GRACE_S, |_| {}).expect("valid in tests");
    let mut caller = RawCaller::connect_narrow(&gateway.ip).expect("valid in tests");
    let path = format!("/book/1/bytes-{ANSWER_BYTES}");
    caller.request("POST", &path, "r1").expect("valid in tests");
    while caller.received() == 0 {
        caller.read_piece(1).expect("valid in tests");
    }
    gateway.process.signal(Signal::TERM).expect("valid in tests");
    let begin = Instant::now();
    while begin.elapsed() < SLOW_READING {
        caller.read_piece(4_096).expect("valid in tests");
        sleep(Duration::from_millis(20));
    }
    let response = caller.response().map(|response| (response.status, response.body.len()));
    assert_eq!(response.ok(), Some((200, ANSWER_BYTES)), "{} bytes came", caller.received());
    assert!(gateway.process.wait_for_exit().expect("valid in tests"));
    assert!(begin.elapsed() < Duration::from_secs(LONG_GRACE_S), "it exits once nothing is left");
}

/// A call whose body was complete only late in the grace period was passed on, and cut at its end (LOST).
#[test]
fn slow_body() {
    let mut gateway =
        LoggedGateway::start(PROGRAM, 103, MIDDLE_GRACE_S, |_| {}).expect("valid in tests");
    let mut caller = RawCaller::connect(&gateway.ip).expect("valid in tests");
    let head = request_text("POST", "/book/1", "r1").replace("Length: 0", "Length: 4");
    caller.send(&format!("{head}bo")).expect("valid in tests");
    gateway.process.signal(Signal::TERM).expect("valid in tests");
    sleep(BALANCER_DELAY + Duration::from_millis(100));
    (0..2).for_each(|index| gateway.standin.silence_replica(index, Duration::from_secs(60)));
    caller.send("dy").expect("valid in tests");
    let response = caller.response().map(|response| response.status);
    assert_eq!(response.ok(), Some(503), "the call cannot end before the host exits");
    assert_eq!(gateway.runs_of("r1"), 0);
    assert!(gateway.process.wait_for_exit().expect("valid in tests"));
}

/// Idle connections don't keep a host from exiting.
#[test]
fn idle_connections() {
    let mut gateway =
        LoggedGateway::start(PROGRAM, 102, LONG_GRACE_S, |_| {}).expect("valid in tests");
    let mut fresh = RawCaller::connect(&gateway.ip).expect("valid in tests");
    let mut kept = RawCaller::connect(&gateway.ip).expect("valid in tests");
    kept.request("GET", "/look/1", "r1").expect("valid in tests");
    assert_eq!(kept.response().expect("valid in tests").status, 200);
    let begin = Instant::now();
    gateway.process.signal(Signal::TERM).expect("valid in tests");
    assert_eq!(fresh.read_to_close().expect("valid in tests"), 0);
    assert_eq!(kept.read_to_close().expect("valid in tests"), 0);
    assert!(gateway.process.wait_for_exit().expect("valid in tests"));
    assert!(
        begin.elapsed() < Duration::from_secs(LONG_GRACE_S - 1),
        "the grace period was used up"
    );
}
