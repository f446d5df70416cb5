//! Work that may run once, on every way that leads from one server to another: it never runs at both.

use std::collections::BTreeMap;
use std::sync::Arc;

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

/// Servers that one call may be sent to.
const ATTEMPTS: u32 = 3;

/// Statuses that promise that a call has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Starts a host in front of servers at these addresses and a sound one behind them.
fn start_host(addresses: &[std::net::SocketAddr], number: u8) -> GatewayFixture {
    let services = vec![SERVICE; addresses.len() + 1];
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

/// Calls until `is_done`, and checks that no call ran twice or ran although its caller was told that it had not.
fn check_calls(
    fixture: &GatewayFixture,
    path: &str,
    calls: usize,
    runs: impl Fn() -> Vec<String>,
    is_done: impl Fn() -> bool,
) {
    let mut responses: Vec<CallerResponse> = Vec::new();
    while responses.len() < calls || responses.len() < MAX_CALLS && !is_done() {
        let id = format!("r{}", responses.len());
        responses.push(fixture.call("POST", path, &id, Some(TEAM_KEY)));
    }
    let elsewhere = fixture.standin.runs().into_iter().map(|run| run.request_id);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in runs().into_iter().chain(elsewhere) {
        *counts.entry(id).or_default() += 1;
    }
    for (call, response) in responses.iter().enumerate() {
        let count = counts.get(&format!("r{call}")).copied().unwrap_or(0);
        assert!(count <= 1, "call {call} ran {count} times: {response:?}");
        let is_promise = NOT_RUN.contains(&response.status);
        assert!(count == 0 || !is_promise, "call {call} ran and was refused: {response:?}");
    }
    assert!(is_done(), "no call met a server that misbehaved");
}

/// Connections that are closed or reset in the moment in which they are taken from the pool.
#[rstest]
#[case::closed(180, CloseKind::Orderly)]
#[case::reset(181, CloseKind::Reset)]
fn closed_while_taken(#[case] number: u8, #[case] kind: CloseKind) {
    let start = |id| ClosingServer::start(id, kind, 59).expect("the server starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), number);
    fixture.standin.expire_replica(2);
    let runs = || servers.iter().flat_map(ClosingServer::runs).collect();
    let is_done = || servers.iter().any(|server| !server.unanswered().is_empty());
    check_calls(&fixture, "/book/1", CALLS, runs, is_done);
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
    let fixture = start_host(&servers.each_ref().map(|server| server.address), number);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    let calls = if path.starts_with("/brief/") { STREAMS } else { CALLS };
    check_calls(&fixture, path, calls, runs, || servers.iter().any(|server| server.refusals() > 0));
}

/// A 421 that names no call, from servers without a sound one beside them. The host closes its connection, so no copy
/// of it follows.
#[test]
fn unnamed_misdirection() {
    let copied = CopiedAnswer::Refusal("421 Misdirected Request");
    let start = |id| LateCopyServer::start_copying(id, 3, copied).expect("the server starts");
    let servers = [start("i-0"), start("i-1")];
    let fixture = start_host(&servers.each_ref().map(|server| server.address), 185);
    fixture.standin.expire_replica(2);
    let runs = || servers.iter().flat_map(LateCopyServer::runs).collect();
    check_calls(&fixture, "/book/1", CALLS, runs, || {
        servers.iter().all(|server| server.refusals() > 0)
    });
}
