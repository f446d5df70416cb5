//! Work that may run once, on every way that leads from one server to another: it never runs at both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use testutils::closing_server::CloseKind;
use testutils::closing_server::ClosingServer;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;
use testutils::late_copy_server::CopiedAnswer;
use testutils::late_copy_server::FirstAnswer;
use testutils::late_copy_server::LateCopyServer;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Calls of a case, of one with streams, and the most until servers have misbehaved.
const CALLS: usize = 600;
const STREAMS: usize = 40;
const MAX_CALLS: usize = 6_000;

/// Callers at a time, so that connections are used again while others wait for them.
const CALLERS: usize = 24;

/// Time after a refusal until one of them calls again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// One in so many answers on a connection is a refusal.
const REFUSAL_RATIO: usize = 4;

/// Servers that one call may be sent to.
const ATTEMPTS: u32 = 3;

/// Statuses that promise that a call has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Starts a host in front of servers at these addresses and so many sound ones behind them.
fn start_host(addresses: &[SocketAddr], sound: usize, number: u8) -> GatewayFixture {
    let services = vec![SERVICE; addresses.len() + sound];
    let mut standin = DeploymentStandin::start_with(&services).expect("the stand-in starts");
    for (index, address) in addresses.iter().enumerate() {
        standin.replicas[index] = *address;
        standin.register_replica(index, "ready");
    }
    let mut document = DeploymentStandin::config_document(3);
    for route in document["routes"].as_array_mut().into_iter().flatten() {
        (route["attempts"], route["resumable"]) = (ATTEMPTS.into(), false.into());
    }
    standin.publish_document(&document);
    GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving()
}

/// Returns how many attempts ended with this failure.
fn failures_of(fixture: &GatewayFixture, failure: &str) -> u64 {
    let prefix = format!("pomelostack_attempts_total{{outcome=\"{failure}\"}} ");
    let metrics = fixture.metrics();
    let count = metrics.lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
    count.unwrap_or(0)
}

/// Calls until `is_done`, with so many callers at a time, and checks that no call ran twice or ran although its
/// caller was told that it had not.
fn check_calls(
    fixture: &GatewayFixture,
    path: &str,
    (callers, calls): (usize, usize),
    runs: impl Fn() -> Vec<String>,
    is_done: impl Fn() -> bool + Sync,
) {
    let next = AtomicUsize::new(0);
    let call_on = || {
        let mut responses: Vec<(String, CallerResponse)> = Vec::new();
        loop {
            let call = next.fetch_add(1, Ordering::SeqCst);
            if call >= calls && (call >= MAX_CALLS || is_done()) {
                return responses;
            }
            let id = format!("r{call}");
            let response = fixture.call("POST", path, &id, Some(TEAM_KEY));
            if response.retry_after.is_some() && callers > 1 {
                thread::sleep(RETRY_PAUSE);
            }
            responses.push((id, response));
        }
    };
    let responses: Vec<(String, CallerResponse)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..callers).map(|_| scope.spawn(call_on)).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("no caller panics")).collect()
    });
    let elsewhere = fixture.standin.runs().into_iter().map(|run| run.request_id);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in runs().into_iter().chain(elsewhere) {
        *counts.entry(id).or_default() += 1;
    }
    for (id, response) in &responses {
        let count = counts.get(id).copied().unwrap_or(0);
        assert!(count <= 1, "call {id} ran {count} times: {response:?}");
        let is_promise = NOT_RUN.contains(&response.status);
        assert!(count == 0 || !is_promise, "call {id} ran and was refused: {response:?}");
    }
    assert!(is_done(), "no call met a server that misbehaved");
    let failures = ["Unsent", "Withheld", "Refused", "Misdirected", "Lost"];
    println!("{} calls, {:?}", responses.len(), failures.map(|name| failures_of(fixture, name)));
}

/// Connections that are closed or reset in the moment in which they are taken from the pool.
#[rstest]
#[case::closed(180, CloseKind::Orderly)]
#[case::reset(181, CloseKind::Reset)]
fn closed_while_taken(#[case] number: u8, #[case] kind: CloseKind) {
    let start = |id| ClosingServer::start(id, kind, 59).expect("the server starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 1, number);
    fixture.standin.expire_replica(2);
    let runs = || servers.iter().flat_map(ClosingServer::runs).collect();
    let is_done = || servers.iter().any(|server| !server.unanswered().is_empty());
    check_calls(&fixture, "/book/1", (1, CALLS), runs, is_done);
}

/// Refusals that name their call, at two servers. Their copies are not reached: they come only when a call is sent
/// again on its connection.
#[rstest]
#[case::misdirected(182, "/book/1", "421 Misdirected Request")]
#[case::misdirected_stream(183, "/brief/1", "421 Misdirected Request")]
#[case::full(184, "/book/1", "503 Service Unavailable")]
fn refused_by_both(#[case] number: u8, #[case] path: &str, #[case] status: &'static str) {
    let copied = CopiedAnswer::First(FirstAnswer::Refused(status));
    let start = |id| LateCopyServer::start_copying(id, 1, copied).expect("the server starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 1, number);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    let calls = if path.starts_with("/brief/") { STREAMS } else { CALLS };
    check_calls(&fixture, path, (1, calls), runs, || {
        servers.iter().any(|server| server.refusals() > 0)
    });
}

/// A 421 that names no call, from servers without a sound one beside them. The host closes its connection, so no copy
/// of it follows.
#[test]
fn unnamed_misdirection() {
    let copied = CopiedAnswer::Refusal("421 Misdirected Request");
    let start = |id| LateCopyServer::start_copying(id, 3, copied).expect("the server starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 1, 185);
    fixture.standin.expire_replica(2);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    check_calls(&fixture, "/book/1", (1, CALLS), runs, || {
        servers.iter().all(|server| server.refusals() > 0)
    });
}

/// Refusals that name their call, at two servers, and their copies in front of the answers to other calls, which run
/// there.
#[rstest]
#[case::misdirected(186, "/book/1", "421 Misdirected Request")]
#[case::misdirected_stream(187, "/brief/1", "421 Misdirected Request")]
#[case::limited(188, "/book/1", "429 Too Many Requests")]
#[case::full(189, "/book/1", "503 Service Unavailable")]
#[case::full_stream(190, "/brief/1", "503 Service Unavailable")]
fn copied_to_next(#[case] number: u8, #[case] path: &str, #[case] status: &'static str) {
    let copied = CopiedAnswer::NamedRefusal(status, "");
    let start = |id| LateCopyServer::start_copying(id, REFUSAL_RATIO, copied).expect("it starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 0, number);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    let is_done = || servers.iter().any(|server| server.copies() > 0);
    check_calls(&fixture, path, (CALLERS, CALLS), runs, is_done);
}

/// Servers that ask for a pause while connections to them are being opened: calls that are withheld there go on
/// elsewhere.
#[rstest]
#[case::call(191, "/book/1")]
#[case::stream(192, "/brief/1")]
fn withheld_call(#[case] number: u8, #[case] path: &str) {
    let fields = "Retry-After: 0.02\r\nConnection: close\r\n";
    let copied = CopiedAnswer::NamedRefusal("503 Service Unavailable", fields);
    let start = |id| LateCopyServer::start_copying(id, REFUSAL_RATIO, copied).expect("it starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 0, number);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    check_calls(&fixture, path, (CALLERS, CALLS), runs, || failures_of(&fixture, "Withheld") > 0);
}
