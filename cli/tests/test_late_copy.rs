//! A server that sends its answers a second time, late, on connections that are in use again.

use std::sync::Arc;

use rstest::rstest;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;
use testutils::late_copy_server::CopiedAnswer;
use testutils::late_copy_server::LateCopyServer;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
const CALLS: usize = 60;

/// One in this many answers is repeated, which is within the retry budget.
const ONE_IN: usize = 5;

/// Calls one after another, so that connections to servers are used again, and checks that no caller
/// got the answer to another request.
fn call_all(number: u8, method: &str, path: &str) -> (Vec<CallerResponse>, usize) {
    let server = LateCopyServer::start("i-0", ONE_IN).expect("the server starts");
    let (responses, _) = call_at(&server, number, method, path);
    (responses, server.copies())
}

/// Calls one after another at hosts in front of a server and a sound one.
fn call_at(
    server: &LateCopyServer,
    number: u8,
    method: &str,
    path: &str,
) -> (Vec<CallerResponse>, Arc<DeploymentStandin>) {
    let mut standin = DeploymentStandin::start_with(&[SERVICE; 2]).expect("the stand-in starts");
    standin.replicas[0] = server.address;
    standin.register_replica(0, "ready");
    standin.publish_config(3);
    let standin = Arc::new(standin);
    let fixture = GatewayFixture::start_host(PROGRAM, standin.clone(), number).serving();
    let mut responses = Vec::new();
    for call in 0..CALLS {
        let id = format!("r{call}");
        let response = fixture.call(method, path, &id, Some(TEAM_KEY));
        if response.status == 200 {
            assert_eq!(response.body, Some(format!("answer to {id}")));
        }
        responses.push(response);
    }
    (responses, standin)
}

#[test]
fn repeatable_call() {
    let (responses, copies) = call_all(121, "GET", "/look/1");
    assert!(copies > 0, "a connection was used again");
    assert!(responses.iter().all(|response| response.status == 200), "{responses:?}");
}

#[test]
fn unrepeatable_call() {
    // Such a call may have run, so it is not said not to have.
    let (responses, copies) = call_all(122, "POST", "/book/1");
    assert!(copies > 0, "a connection was used again");
    let is_honest = |response: &CallerResponse| matches!(response.status, 200 | 502);
    assert!(responses.iter().all(is_honest), "{responses:?}");
}

/// A late copy of a refusal that names no request was taken as proof that the next call had not run:
/// callers were refused calls that ran (REFUSED), or the calls ran twice (TWICE).
#[rstest]
#[case("503 Service Unavailable", 123)]
#[case("421 Misdirected Request", 124)]
fn copied_refusal(#[case] status: &'static str, #[case] number: u8) {
    let copied = CopiedAnswer::Refusal(status);
    let server = LateCopyServer::start_copying("i-0", ONE_IN, copied).expect("the server starts");
    let (responses, standin) = call_at(&server, number, "POST", "/book/1");
    assert!(server.refusals() > 0, "the server refused a call");
    let elsewhere = standin.runs().into_iter().map(|run| run.request_id);
    let runs: Vec<String> = server.runs().into_iter().chain(elsewhere).collect();
    for (call, response) in responses.iter().enumerate() {
        let count = runs.iter().filter(|id| **id == format!("r{call}")).count();
        assert!(count <= 1, "call {call} ran {count} times");
        assert!(count == 0 || response.status != 503, "call {call} ran and was refused");
    }
}
