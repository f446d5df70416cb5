//! Tests of the application server client against a stand-in server over HTTP.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking, too")]

use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use pomelostack_lib::app_client::AppClient;
use pomelostack_lib::app_server::AppRequest;
use pomelostack_lib::app_server::AppResponse;
use pomelostack_lib::app_server::AppServer;
use pomelostack_lib::engine::ServerError;
use pomelostack_lib::http_client::HttpClientLimits;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::RequestId;
use rstest::rstest;
use testutils::app_standin::AppEcho;
use testutils::app_standin::AppFault;
use testutils::app_standin::AppSettings;
use testutils::app_standin::AppStandin;
use testutils::bounded_wait::WAIT_TIMEOUT;
use testutils::bounded_wait::wait_for;
use testutils::raw_server::RawServer;
use testutils::refusing_port::RefusingPort;

/// Service time longer than any test runs.
const ENDLESS_SERVICE: Duration = Duration::from_secs(3600);

fn start(settings: AppSettings) -> (AppStandin, AppClient) {
    let app = AppStandin::start(settings).unwrap();
    let client = AppClient::new(app.address(), HttpClientLimits::default());
    (app, client)
}

fn request(method: &str, path: &str, body: &str) -> AppRequest {
    AppRequest {
        request: RequestId { origin: 1, sequence: 2 },
        attempt: AttemptNumber(3),
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
        idempotency_key: Some("slot-17".to_owned()),
        fence: None,
    }
}

fn echo_of(answer: &AppResponse) -> AppEcho {
    serde_json::from_slice(&answer.body).unwrap()
}

#[rstest]
#[case("GET", "/wind?mark=3", "")]
#[case("POST", "/slots", "{\"slot\":17}")]
#[case("PUT", "/slots/17", "ten")]
#[case("DELETE", "/slots/17", "")]
#[case("PATCH", "/slots/17", "late")]
#[case("GET", "/search", "a body on GET")]
fn forwarded_call(#[case] method: &str, #[case] path: &str, #[case] body: &str) {
    let (app, client) = start(AppSettings::default());
    let answer = client.call(&request(method, path, body), WAIT_TIMEOUT).unwrap();
    let echo = echo_of(&answer);
    let expected = AppEcho {
        headers: echo.headers.clone(),
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.to_owned(),
        request: Some("0000000000000001-0000000000000002".to_owned()),
        key: Some("slot-17".to_owned()),
    };
    assert_eq!((answer.status, echo), (200, expected));
    let entries = app.journal().entries();
    assert_eq!((entries.len(), entries[0].attempt), (1, 3));
    assert!(entries[0].end_ms.is_some());
    assert_eq!(app.journal().runs_of_key("slot-17"), 1);
}

#[rstest]
#[case(204)]
#[case(301)]
#[case(404)]
#[case(418)]
#[case(500)]
#[case(503)]
fn forwarded_status(#[case] status: u16) {
    let (_app, client) = start(AppSettings::default());
    let answer = client.call(&request("POST", &format!("/status/{status}"), "x"), WAIT_TIMEOUT);
    assert_eq!(answer.unwrap().status, status);
}

#[test]
fn head_request() {
    let (app, client) = start(AppSettings::default());
    let answer = client.call(&request("HEAD", "/wind", ""), WAIT_TIMEOUT).unwrap();
    assert_eq!((answer.status, answer.body.len()), (200, 0));
    assert_eq!(app.journal().entries()[0].work, "HEAD /wind");
}

#[test]
fn hop_by_hop_headers() {
    let (_app, client) = start(AppSettings::default());
    let mut wanted = request("POST", "/slots", "one");
    for (name, value) in [
        ("Connection", "close, X-Hop"),
        ("X-Hop", "for this connection alone"),
        ("X-Kept", "for the server"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "9999"),
        ("Host", "elsewhere"),
        ("Idempotency-Key", "forged"),
        ("Pomelostack-Request-Id", "forged"),
    ] {
        wanted.headers.push((name.to_owned(), value.to_owned()));
    }
    let answer = client.call(&wanted, WAIT_TIMEOUT).unwrap();
    let echo = echo_of(&answer);
    assert_eq!(echo.body, "one");
    let header = |name: &str| echo.headers.get(name).map(String::as_str);
    assert_eq!((header("x-hop"), header("x-kept")), (None, Some("for the server")));
    assert_ne!(header("host"), Some("elsewhere"));
    assert_eq!(echo.key.as_deref(), Some("slot-17"));
    assert_eq!(echo.request.as_deref(), Some("0000000000000001-0000000000000002"));
    let names: Vec<_> = answer.headers.iter().map(|(name, _)| name.to_lowercase()).collect();
    assert!(!names.contains(&"connection".to_owned()));
    assert!(!names.contains(&"transfer-encoding".to_owned()));
}

#[test]
fn connection_refused() {
    let port = RefusingPort::bind().unwrap();
    let client = AppClient::new(port.address(), HttpClientLimits::default());
    let outcome = client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::NotConnected(_))), "{outcome:?}");
}

#[test]
fn invalid_header() {
    let (app, client) = start(AppSettings::default());
    let mut wanted = request("POST", "/slots", "x");
    wanted.headers.push(("no space".to_owned(), "x\r\ny".to_owned()));
    let outcome = client.call(&wanted, WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::NotConnected(_))), "{outcome:?}");
    assert_eq!(app.journal().entries(), []);
}

#[test]
fn closed_before_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = AppClient::new(listener.local_addr().unwrap(), HttpClientLimits::default());
    let closer = thread::spawn(move || drop(listener.accept().unwrap()));
    let outcome = client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT);
    closer.join().unwrap();
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
}

#[rstest]
#[case::short_body("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this")]
#[case::short_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nonly")]
#[case::no_last_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nonly\r\n")]
#[case::short_header("HTTP/1.1 200 OK\r\nContent-Le")]
#[case::not_http("what is this\r\n\r\n")]
fn truncated_response(#[case] answer: &str, #[values("GET", "POST")] method: &str) {
    let server = RawServer::start(answer.to_owned()).unwrap();
    let client = AppClient::new(server.address(), HttpClientLimits::default());
    let outcome = client.call(&request(method, "/slots", "x"), WAIT_TIMEOUT);
    server.join().unwrap();
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
}

#[test]
fn timed_out() {
    let settings = AppSettings { service_time: ENDLESS_SERVICE, ..Default::default() };
    let (app, client) = start(settings);
    let timeout = Duration::from_millis(500);
    let outcome = client.call(&request("POST", "/slots", "x"), timeout);
    assert_eq!(outcome, Err(ServerError::TimedOut(timeout)));
    // The server runs the call although the client timed out.
    wait_for(|| app.journal().runs_of_key("slot-17") == 1);
}

#[test]
fn crash_while_running() {
    let settings = AppSettings { service_time: ENDLESS_SERVICE, ..Default::default() };
    let (app, client) = start(settings);
    let outcome = thread::scope(|scope| {
        let call = scope.spawn(|| client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT));
        wait_for(|| app.journal().runs_of_key("slot-17") == 1);
        app.apply_fault(AppFault::Crash { restart_after_ms: None });
        call.join().unwrap()
    });
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    assert_eq!(app.journal().entries()[0].end_ms, None);
    let refused = client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT);
    assert!(matches!(refused, Err(ServerError::NotConnected(_))), "{refused:?}");
}

#[test]
fn crash_marker() {
    let (app, client) = start(AppSettings::default());
    let outcome = client.call(&request("POST", "/slots", "boom [[crash]]"), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    wait_for(|| !app.is_up());
    assert_eq!(app.journal().entries()[0].end_ms, None);
}

#[rstest]
#[case("GET")]
#[case("POST")]
fn lost_reply(#[case] method: &str) {
    let (app, client) = start(AppSettings::default());
    // The first call leaves an idle connection that can be reused.
    client.call(&request("GET", "/wind", ""), WAIT_TIMEOUT).unwrap();
    app.apply_fault(AppFault::LoseReplies(1));
    let outcome = client.call(&request(method, "/slots", "x"), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    let entries = app.journal().entries();
    assert_eq!(entries.len(), 2, "a lost call must not be sent again");
    assert!(entries[1].end_ms.is_some());
}

#[test]
fn silent_connection() {
    let (app, client) = start(AppSettings::default());
    client.call(&request("GET", "/wind", ""), WAIT_TIMEOUT).unwrap();
    app.apply_fault(AppFault::SilenceConnections);
    // A call that must not be repeated does not use a pooled connection.
    client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT).unwrap();
    let timeout = Duration::from_millis(200);
    let outcome = client.call(&request("GET", "/wind", ""), timeout);
    assert_eq!(outcome, Err(ServerError::TimedOut(timeout)));
    assert_eq!(app.journal().entries().len(), 2);
}

#[test]
fn retired_connections() {
    let (app, client) = start(AppSettings::default());
    client.call(&request("GET", "/wind", ""), WAIT_TIMEOUT).unwrap();
    app.apply_fault(AppFault::SilenceConnections);
    client.retire_connections();
    client.call(&request("GET", "/wind", ""), WAIT_TIMEOUT).unwrap();
    assert_eq!(app.journal().entries().len(), 2);
}

#[test]
fn relative_path() {
    let (app, client) = start(AppSettings::default());
    let outcome = client.call(&request("GET", "@127.0.0.1:1/", ""), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::NotConnected(_))), "{outcome:?}");
    assert_eq!(app.journal().entries(), []);
}

#[test]
fn refused_work() {
    let (app, client) = start(AppSettings::default());
    app.apply_fault(AppFault::RefuseWork(true));
    let outcome = client.call(&request("POST", "/slots", "x"), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::Refused(_))), "{outcome:?}");
    assert_eq!(app.journal().entries(), []);
}

#[test]
fn stale_fencing_token() {
    let (app, client) = start(AppSettings { fencing_check: true, ..Default::default() });
    let mut wanted = request("POST", "/slots", "x");
    wanted.fence = Some(FencingToken(8));
    client.call(&wanted, WAIT_TIMEOUT).unwrap();
    wanted.fence = Some(FencingToken(7));
    let outcome = client.call(&wanted, WAIT_TIMEOUT);
    assert_eq!(outcome, Err(ServerError::Fenced(FencingToken(8))));
    assert_eq!(app.journal().entries().len(), 1);
}

#[test]
fn oversized_response() {
    let app = AppStandin::start(AppSettings::default()).unwrap();
    let limits = HttpClientLimits { max_body_bytes: 1_000, ..HttpClientLimits::default() };
    let client = AppClient::new(app.address(), limits);
    let outcome = client.call(&request("POST", "/slots", &"x".repeat(2_000)), WAIT_TIMEOUT);
    assert!(matches!(outcome, Err(ServerError::Malformed(_))), "{outcome:?}");
}
