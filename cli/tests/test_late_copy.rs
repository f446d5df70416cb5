//! A server that sends its answers a second time, late, on connections that are in use again.

use std::sync::Arc;

use rstest::rstest;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;
use testutils::late_copy_server::CopiedAnswer;
use testutils::late_copy_server::FirstAnswer;
use testutils::late_copy_server::LateCopyServer;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
const CALLS: usize = 60;

/// Calls after which the server must have misbehaved: a host may prefer the sound one for a while.
const MAX_CALLS: usize = 3_000;

/// One in this many answers is repeated, which is within the retry budget.
const ONE_IN: usize = 5;

/// Calls whose caller keeps its id over its tries.
const KEPT_IDS: usize = 20;

/// Calls that are all refused.
const REFUSED_CALLS: usize = 1_000;

/// Tries of such a caller.
const TRIES: usize = 3;

/// Statuses that promise that a call has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

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
    for call in 0..MAX_CALLS {
        if call >= CALLS && server.copies() + server.refusals() > 0 {
            break;
        }
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

/// Calls a server alone, listed once or twice, that copies its first answer to each call.
/// Callers keep their ids over `tries`, and come again only after a promise that the call has not run, or
/// after any error of a call that may be repeated. Returns the last response to each call.
fn call_again(
    server: &LateCopyServer,
    entries: usize,
    number: u8,
    (method, path): (&str, &str),
    tries: usize,
) -> Vec<CallerResponse> {
    let mut standin = DeploymentStandin::start_with(&vec![SERVICE; entries]).expect("it starts");
    for index in 0..entries {
        standin.replicas[index] = server.address;
        standin.register_replica(index, "ready");
    }
    standin.publish_config(3);
    let fixture = GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving();
    let runs_of = |id: &str| server.runs().into_iter().filter(|run| run == id).count();
    let mut last_responses = Vec::new();
    for call in 0..KEPT_IDS {
        let id = format!("r{call}");
        let mut response = fixture.call(method, path, &id, Some(TEAM_KEY));
        for tried in 1..=tries {
            let is_promise = NOT_RUN.contains(&response.status);
            let runs = runs_of(&id);
            assert!(!is_promise || runs == 0, "call {call}, try {tried}: {response:?}, ran {runs}");
            let is_final = method == "POST" || response.status < 500;
            if tried == tries || is_final && !is_promise {
                break;
            }
            response = fixture.call(method, path, &id, Some(TEAM_KEY));
        }
        assert!(method == "GET" || runs_of(&id) <= 1, "call {call} ran {} times", runs_of(&id));
        last_responses.push(response);
    }
    last_responses
}

/// A late copy of a refusal that names its call was taken for the answer to the caller's second try:
/// callers were told that calls had not run that ran (REFUSED), and sent them again (TWICE).
#[rstest]
#[case::full("503 Service Unavailable", "/book/1", 230)]
#[case::limited("429 Too Many Requests", "/book/1", 231)]
#[case::misdirected("421 Misdirected Request", "/book/1", 232)]
#[case::without_id("400 Bad Request", "/book/1", 233)]
#[case::full_stream("503 Service Unavailable", "/brief/1", 234)]
#[case::limited_stream("429 Too Many Requests", "/brief/1", 235)]
#[case::misdirected_stream("421 Misdirected Request", "/brief/1", 236)]
fn named_refusal(#[case] status: &'static str, #[case] path: &str, #[case] number: u8) {
    let copied = CopiedAnswer::First(FirstAnswer::Refused(status));
    let server = LateCopyServer::start_copying("i-0", 1, copied).expect("the server starts");
    let responses = call_again(&server, 1, number, ("POST", path), TRIES);
    assert!(server.refusals() >= KEPT_IDS, "each call is refused once");
    let answered = responses.iter().filter(|response| response.status == 200).count();
    assert!(answered >= KEPT_IDS / 2, "{responses:?}");
}

/// Two directory entries with one address: the process behind it refused a call that was meant for
/// the first one, got it again for the second one, and ran it behind a copy of its refusal.
#[test]
fn shared_address() {
    let copied = CopiedAnswer::First(FirstAnswer::Refused("421 Misdirected Request"));
    let server = LateCopyServer::start_copying("i-0", 1, copied).expect("the server starts");
    let responses = call_again(&server, 2, 237, ("POST", "/book/1"), 1);
    assert!(responses.iter().any(|response| response.status == 200), "{responses:?}");
}

/// A late copy of the error of an earlier try was taken for the answer to a repeatable call.
#[rstest]
#[case("500 Internal Server Error", 238)]
#[case("504 Gateway Timeout", 239)]
fn named_error(#[case] status: &'static str, #[case] number: u8) {
    let copied = CopiedAnswer::First(FirstAnswer::Failed(status));
    let server = LateCopyServer::start_copying("i-0", 1, copied).expect("the server starts");
    let responses = call_again(&server, 1, number, ("GET", "/look/1"), 2);
    let answered = |response: &&CallerResponse| response.status == 200;
    assert_eq!(responses.iter().filter(answered).count(), KEPT_IDS, "{responses:?}");
}

/// Refusals that name their calls cost no connections: at worst load most answers are refusals.
#[test]
fn refusal_connections() {
    let copied = CopiedAnswer::First(FirstAnswer::Refused("503 Service Unavailable"));
    let server = LateCopyServer::start_copying("i-0", 1, copied).expect("the server starts");
    let mut standin = DeploymentStandin::start_with(&[SERVICE]).expect("the stand-in starts");
    standin.replicas[0] = server.address;
    standin.register_replica(0, "ready");
    standin.publish_config(3);
    let fixture = GatewayFixture::start_host(PROGRAM, Arc::new(standin), 240).serving();
    for call in 0..REFUSED_CALLS {
        let response = fixture.call("POST", "/book/1", &format!("r{call}"), Some(TEAM_KEY));
        assert_eq!(response.status, 503);
    }
    assert!(server.refusals() >= REFUSED_CALLS, "each call reached the server");
    let connections = server.connections();
    println!("{connections} connections for {REFUSED_CALLS} refused calls");
    assert!(connections < REFUSED_CALLS / 50, "{connections} connections");
}
