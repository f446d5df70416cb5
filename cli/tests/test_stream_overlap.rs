//! Streams that go on at another server: no two servers work on one for long, whatever they do.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;
use testutils::stream_overlap::MAX_STREAM_OVERLAP;
use testutils::stream_overlap::long_overlaps;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Longer than any limit on the silence of a server, shorter than the deadline.
const FIRST_SILENCE: Duration = Duration::from_millis(3_600);

/// Time that a second server needs to its first event: longer than two servers may work on a stream.
const SLOW_START: Duration = Duration::from_millis(900);

/// Events of a stream that lasts for longer than two servers may work on it.
const LONG_STREAM: u64 = 60;

/// Longer than any deadline.
const PAST_DEADLINE: Duration = Duration::from_secs(60);

/// Time for a server to see that a connection was closed.
const CLOSE_TIME: Duration = Duration::from_millis(600);

fn start_servers(number: u8, count: usize, attempts: u32) -> GatewayFixture {
    let standin = DeploymentStandin::start_with(&vec![SERVICE; count]).expect("valid in tests");
    let mut document = DeploymentStandin::config_document(3);
    for route in document["routes"].as_array_mut().into_iter().flatten() {
        route["attempts"] = attempts.into();
    }
    standin.publish_document(&document);
    GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving()
}

/// Calls a stream and does something with the index of its first server once that runs it.
fn call_and(fixture: &GatewayFixture, action: impl FnOnce(usize)) -> CallerResponse {
    call_path_and(fixture, &format!("/brief/1/events-{STREAM_EVENTS}"), action)
}

fn call_path_and(
    fixture: &GatewayFixture,
    path: &str,
    action: impl FnOnce(usize),
) -> CallerResponse {
    std::thread::scope(|scope| {
        let caller = scope.spawn(move || fixture.call("POST", path, "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        let run = fixture.standin.runs().into_iter().find(|run| run.request_id == "r1");
        action(run.expect("valid in tests").replica);
        caller.join().expect("valid in tests")
    })
}

/// Checks that a stream was answered whole, and that no two servers worked on it for too long.
fn check_stream(fixture: &GatewayFixture, response: &CallerResponse) {
    check_events(fixture, response, STREAM_EVENTS);
}

fn check_events(fixture: &GatewayFixture, response: &CallerResponse, events: u64) {
    let whole: String = (1..=events).map(event_text).collect();
    assert!(response.status == 200 && response.body == Some(whole), "{response:?}");
    std::thread::sleep(CLOSE_TIME);
    let (runs, ends) = (fixture.standin.runs(), fixture.standin.stream_ends());
    let overlaps = long_overlaps(&runs, &ends, Instant::now(), MAX_STREAM_OVERLAP);
    assert!(overlaps.is_empty(), "{overlaps:?}");
}

/// The first server fell silent, and the second one needed longer than two servers may work on a stream: both
/// worked on it until the first event of one of them (TWICE).
#[rstest]
#[case::slow_head(170, ReplicaMode::SlowBy(SLOW_START))]
#[case::slow_event(171, ReplicaMode::PauseAfter { events: 0, pause: SLOW_START })]
#[case::head_only(172, ReplicaMode::PauseAfter { events: 0, pause: PAST_DEADLINE })]
#[case::no_head(173, ReplicaMode::HangOn { one_in: 1 })]
fn slow_second(#[case] number: u8, #[case] second: ReplicaMode) {
    let fixture = start_servers(number, 2, 2);
    let stream = call_and(&fixture, |first| {
        fixture.standin.set_replica_mode(1 - first, second);
        fixture.standin.silence_replica(first, FIRST_SILENCE);
    });
    check_stream(&fixture, &stream);
}

/// A server that paused within its stream, and a slow second one (TWICE).
#[test]
fn silent_within_stream() {
    let fixture = start_servers(174, 2, 2);
    let stream = call_and(&fixture, |first| {
        fixture.standin.set_replica_mode(1 - first, ReplicaMode::SlowBy(SLOW_START));
        std::thread::sleep(Duration::from_millis(100));
        fixture.standin.silence_replica(first, FIRST_SILENCE);
    });
    check_stream(&fixture, &stream);
}

/// A stream that was resumed after a loss: the server that took it up fell silent, and so did the third one for a
/// while (TWICE).
#[test]
fn silent_after_loss() {
    let fixture = start_servers(175, 3, 3);
    // The retry budget grows with the requests.
    for number in 0..20 {
        fixture.call("GET", "/look/1", &format!("look-{number}"), Some(TEAM_KEY));
    }
    for index in 0..3 {
        fixture.standin.set_replica_mode(index, ReplicaMode::CutAfter(3));
    }
    let stream = call_and(&fixture, |first| {
        for index in (0..3).filter(|index| *index != first) {
            fixture.standin.set_replica_mode(index, ReplicaMode::SlowBy(SLOW_START));
            fixture.standin.silence_replica(index, FIRST_SILENCE);
        }
    });
    check_stream(&fixture, &stream);
}

/// A second server that answers with an error, whose body comes slowly: the silent first server was dropped while
/// the body was read, and the stream was lost if it could not go back.
#[test]
fn failed_second() {
    let fixture = start_servers(176, 2, 2);
    let path = format!("/brief/1/events-{LONG_STREAM}");
    let stream = call_path_and(&fixture, &path, |first| {
        fixture.standin.set_replica_mode(1 - first, ReplicaMode::Fail);
        fixture.standin.silence_replica(first, FIRST_SILENCE);
    });
    check_events(&fixture, &stream, LONG_STREAM);
    assert_eq!(fixture.runs_of("r1"), 2, "the first server goes on");
}
