//! The log's HTTP client against its stand-in, and the in-process fake log.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use pomelostack_lib::http_client::HttpClientLimits;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_client::LogClient;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::log_service::MAX_RECORD_BYTES;
use rstest::rstest;
use testutils::hang_guard::HANG_GUARD;
use testutils::log_standin::LogFake;
use testutils::log_standin::LogFault;
use testutils::log_standin::LogOutage;
use testutils::log_standin::LogSettings;
use testutils::log_standin::LogStandin;
use testutils::raw_server::RawServer;

const CLAIMS: LogStream = LogStream::Claims;

fn start(settings: LogSettings) -> (LogStandin, LogClient) {
    let log = LogStandin::start(settings).unwrap();
    let limits = HttpClientLimits { call_timeout: HANG_GUARD, ..HttpClientLimits::default() };
    let client = LogClient::new(log.address(), limits);
    (log, client)
}

fn data_from(service: &dyn LogService, from: u64) -> Vec<Vec<u8>> {
    let slice = service.read(CLAIMS, LogOffset(from), 1_000).unwrap();
    slice.records.into_iter().map(|record| record.data).collect()
}

#[test]
fn read_back() {
    let (_log, client) = start(LogSettings::default());
    let bytes: Vec<u8> = (0..=255).collect();
    for offset in 0..5 {
        assert_eq!(client.append(CLAIMS, &bytes[offset..]), Ok(LogOffset(offset as u64)));
    }
    assert_eq!(client.append(LogStream::Config, b""), Ok(LogOffset(0)));
    let slice = client.read(CLAIMS, LogOffset(1), 2).unwrap();
    assert_eq!((slice.first, slice.end), (LogOffset(0), LogOffset(5)));
    let found: Vec<_> = slice.records.iter().map(|found| (found.offset, &found.data)).collect();
    assert_eq!(found, [(LogOffset(1), &bytes[1..].to_vec()), (LogOffset(2), &bytes[2..].to_vec())]);
    assert!(slice.records.iter().all(|found| found.appended_ms <= slice.now_ms));
    let at_end = client.read(CLAIMS, LogOffset(5), 10).unwrap();
    assert_eq!((at_end.records.len(), at_end.end), (0, LogOffset(5)));
    let past_end = client.read(CLAIMS, LogOffset(9), 10).unwrap();
    assert_eq!((past_end.records.len(), past_end.end), (0, LogOffset(5)));
}

#[test]
fn down_then_up() {
    let (log, client) = start(LogSettings::default());
    log.apply_fault(LogFault::Down(true));
    assert!(matches!(client.append(CLAIMS, b"a"), Err(LogError::Refused(_))));
    assert!(matches!(client.read(CLAIMS, LogOffset(0), 1), Err(LogError::Refused(_))));
    log.apply_fault(LogFault::Down(false));
    assert_eq!(client.append(CLAIMS, b"b"), Ok(LogOffset(0)));
    assert_eq!(data_from(&client, 0), [b"b"]);
}

#[test]
fn stopped_log() {
    let (log, client) = start(LogSettings::default());
    client.append(CLAIMS, b"a").unwrap();
    log.stop();
    assert!(matches!(client.append(CLAIMS, b"b"), Err(LogError::Refused(_))));
}

#[rstest]
#[case::lost_reply(LogFault::LoseReplies(1), &["a", "b"])]
#[case::lost_request(LogFault::LoseRequests(1), &["b"])]
#[case::held(LogFault::HoldAppends(1), &["b"])]
fn unknown_outcome(#[case] fault: LogFault, #[case] kept: &[&str]) {
    let (log, client) = start(LogSettings::default());
    log.apply_fault(fault);
    let outcome = client.append(CLAIMS, b"a");
    assert!(matches!(outcome, Err(LogError::OutcomeUnknown(_))), "{outcome:?}");
    client.append(CLAIMS, b"b").unwrap();
    let found = data_from(&client, 0);
    assert_eq!(found, kept.iter().map(|data| data.as_bytes()).collect::<Vec<_>>());
}

#[test]
fn delayed_append() {
    let (log, client) = start(LogSettings::default());
    log.apply_fault(LogFault::HoldAppends(1));
    assert!(matches!(client.append(CLAIMS, b"a"), Err(LogError::OutcomeUnknown(_))));
    client.append(CLAIMS, b"b").unwrap();
    log.apply_fault(LogFault::ReleaseHeld);
    assert_eq!(data_from(&client, 0), [b"b", b"a"]);
}

#[test]
fn unreachable_log() {
    let (log, client) = start(LogSettings::default());
    log.apply_fault(LogFault::Unreachable(true));
    let outcome = client.append(CLAIMS, b"a");
    assert!(matches!(outcome, Err(LogError::OutcomeUnknown(_))), "{outcome:?}");
    assert!(matches!(client.read(CLAIMS, LogOffset(0), 1), Err(LogError::Refused(_))));
    log.apply_fault(LogFault::Unreachable(false));
    assert!(data_from(&client, 0).is_empty());
}

#[test]
fn slow_log() {
    let log = LogStandin::start(LogSettings::default()).unwrap();
    let call_timeout = Duration::from_millis(100);
    let limits = HttpClientLimits { call_timeout, ..HttpClientLimits::default() };
    let client = LogClient::new(log.address(), limits);
    log.apply_fault(LogFault::Slow { extra_ms: 3_600_000 });
    let outcome = client.append(CLAIMS, b"a");
    assert!(matches!(outcome, Err(LogError::OutcomeUnknown(_))), "{outcome:?}");
}

#[test]
fn silent_connection() {
    let log = LogStandin::start(LogSettings::default()).unwrap();
    let call_timeout = Duration::from_millis(500);
    let limits = HttpClientLimits { call_timeout, ..HttpClientLimits::default() };
    let client = LogClient::new(log.address(), limits);
    client.append(CLAIMS, b"a").unwrap();
    log.apply_fault(LogFault::SilenceConnections);
    let outcome = client.append(CLAIMS, b"b");
    assert!(matches!(outcome, Err(LogError::OutcomeUnknown(_))), "{outcome:?}");
    client.retire_connections();
    client.append(CLAIMS, b"c").unwrap();
    assert_eq!(data_from(log.fake(), 0), [b"a", b"c"]);
}

#[test]
fn append_rate() {
    let (_log, client) = start(LogSettings { appends_per_s: 0, ..LogSettings::default() });
    assert!(matches!(client.append(CLAIMS, b"a"), Err(LogError::Refused(_))));
    let fake = LogFake::new();
    fake.set_appends_per_s(2);
    fake.set_now_ms(10_000);
    fake.append(CLAIMS, b"a").unwrap();
    fake.set_now_ms(10_500);
    fake.append(CLAIMS, b"b").unwrap();
    fake.set_now_ms(10_999);
    assert!(matches!(fake.append(CLAIMS, b"c"), Err(LogError::Refused(_))));
    fake.set_now_ms(11_000);
    fake.append(CLAIMS, b"d").unwrap();
    assert_eq!(data_from(&fake, 0), [b"a", b"b", b"d"]);
}

#[test]
fn record_size() {
    let (_log, client) = start(LogSettings::default());
    client.append(CLAIMS, &vec![0; MAX_RECORD_BYTES]).unwrap();
    let refused = client.append(CLAIMS, &vec![0; MAX_RECORD_BYTES + 1]);
    assert!(matches!(refused, Err(LogError::Refused(_))));
    assert_eq!(data_from(&client, 0).len(), 1);
}

#[test]
fn past_retention() {
    let fake = LogFake::new();
    fake.set_retention_ms(1_000);
    for at in [0, 500, 1_200] {
        fake.set_now_ms(at);
        fake.append(CLAIMS, &at.to_le_bytes()).unwrap();
    }
    assert_eq!(fake.read(CLAIMS, LogOffset(0), 9), Err(LogError::Expired(LogOffset(1))));
    assert_eq!(data_from(&fake, 1).len(), 2);
    fake.set_now_ms(9_000);
    assert_eq!(fake.read(CLAIMS, LogOffset(2), 9), Err(LogError::Expired(LogOffset(3))));
    assert_eq!(fake.append(CLAIMS, b"new"), Ok(LogOffset(3)));
}

#[test]
fn expired_over_http() {
    let (log, client) = start(LogSettings::default());
    client.append(CLAIMS, b"a").unwrap();
    log.fake().set_now_ms(u64::MAX / 2);
    assert_eq!(client.read(CLAIMS, LogOffset(0), 9), Err(LogError::Expired(LogOffset(1))));
}

#[test]
fn monotonic_clock() {
    let fake = LogFake::new();
    fake.set_now_ms(50);
    fake.set_now_ms(20);
    assert_eq!(fake.read(CLAIMS, LogOffset(0), 1).unwrap().now_ms, 50);
}

#[test]
fn fake_outages() {
    let fake = LogFake::new();
    fake.set_outage(LogOutage::Unreachable);
    assert!(matches!(fake.append(CLAIMS, b"a"), Err(LogError::OutcomeUnknown(_))));
    fake.set_outage(LogOutage::Refusing);
    assert!(matches!(fake.append(CLAIMS, b"b"), Err(LogError::Refused(_))));
    fake.set_outage(LogOutage::None);
    assert_eq!(fake.append(CLAIMS, b"c"), Ok(LogOffset(0)));
}

#[rstest]
#[case::not_json("oops")]
#[case::hole(
    r#"{"first":0,"end":9,"now_ms":1,"records":[{"offset":4,"appended_ms":1,"data":""}]}"#
)]
#[case::past_end(
    r#"{"first":0,"end":0,"now_ms":1,"records":[{"offset":0,"appended_ms":1,"data":""}]}"#
)]
#[case::not_base64(
    r#"{"first":0,"end":1,"now_ms":1,"records":[{"offset":0,"appended_ms":1,"data":"!"}]}"#
)]
fn malformed_slice(#[case] body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let server = RawServer::start(head + body).unwrap();
    let client = LogClient::new(server.address(), HttpClientLimits::default());
    let outcome = client.read(CLAIMS, LogOffset(0), 9);
    server.join().unwrap();
    assert!(matches!(outcome, Err(LogError::Malformed(_))), "{outcome:?}");
}

#[test]
fn malformed_append() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_owned();
    let server = RawServer::start(answer).unwrap();
    let client = LogClient::new(server.address(), HttpClientLimits::default());
    let outcome = client.append(CLAIMS, b"a");
    assert!(matches!(outcome, Err(LogError::OutcomeUnknown(_))), "{outcome:?}");
}
