//! Backend servers that fall silent for a while and go on: no answer ends because of it.

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
use testutils::stream_overlap::long_overlaps;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Longer than any limit on the time between two pieces of a stream, shorter than the deadline.
const STREAM_PAUSE: Duration = Duration::from_millis(3_000);

/// Longer than the time limits of two attempts, shorter than the deadline.
const ANSWER_PAUSE: Duration = Duration::from_millis(5_500);

/// Longer than any deadline.
const PAST_DEADLINE: Duration = Duration::from_secs(60);

/// Longest time for which two servers may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time for a host to react, on a busy machine.
const SLACK: Duration = Duration::from_millis(1_500);

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

fn silence_all(fixture: &GatewayFixture, duration: Duration) {
    (0..2).for_each(|index| fixture.standin.silence_replica(index, duration));
}

fn start_servers(number: u8, count: usize, attempts: u32) -> GatewayFixture {
    let standin = DeploymentStandin::start_with(&vec![SERVICE; count]).expect("valid in tests");
    let mut document = DeploymentStandin::config_document(3);
    for route in document["routes"].as_array_mut().into_iter().flatten() {
        route["attempts"] = attempts.into();
    }
    standin.publish_document(&document);
    GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving()
}

/// Calls a stream, does something once it runs at a replica, and returns the response and its time.
fn call_and(fixture: &GatewayFixture, action: impl FnOnce(usize)) -> (CallerResponse, Duration) {
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let begin = Instant::now();
            let path = format!("/brief/1/events-{STREAM_EVENTS}");
            (fixture.call("POST", &path, "r1", Some(TEAM_KEY)), begin.elapsed())
        });
        wait_for(|| fixture.runs_of("r1") == 1);
        let run = fixture.standin.runs().into_iter().find(|run| run.request_id == "r1");
        action(run.expect("valid in tests").replica);
        caller.join().expect("valid in tests")
    })
}

fn is_complete(response: &CallerResponse) -> bool {
    response.status == 200 && response.body == Some(whole_stream())
}

#[rstest]
#[case::before_first_event(40, 0)]
#[case::between_events(41, 3)]
fn all_servers_pause(#[case] number: u8, #[case] events: u64) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    for index in 0..2 {
        let mode = ReplicaMode::PauseAfter { events, pause: STREAM_PAUSE };
        fixture.standin.set_replica_mode(index, mode);
    }
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert!(is_complete(&stream), "{stream:?}");
}

#[rstest]
#[case::stream(42, "POST", "/brief/1")]
#[case::repeatable(43, "GET", "/look/1")]
#[case::once(44, "POST", "/book/1")]
fn silent_before_answer(#[case] number: u8, #[case] method: &str, #[case] path: &str) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    silence_all(&fixture, ANSWER_PAUSE);
    let response = fixture.call(method, path, "r1", Some(TEAM_KEY));
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.is_some());
}

/// A server that is silent within a stream, and one that takes the stream up and is silent before its first
/// event, worked on it side by side for as long as both were silent (TWICE).
#[rstest]
#[case::between_events(58, Duration::from_millis(100))]
#[case::before_first_event(59, Duration::ZERO)]
fn hedge_overlap(#[case] number: u8, #[case] lead: Duration) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    let second_pause = Duration::from_millis(1_500);
    let (stream, _) = call_and(&fixture, |first| {
        let mode = ReplicaMode::PauseAfter { events: 0, pause: second_pause };
        fixture.standin.set_replica_mode(1 - first, mode);
        std::thread::sleep(lead);
        fixture.standin.silence_replica(first, ANSWER_PAUSE);
    });
    assert!(is_complete(&stream), "{stream:?}");
    let runs = fixture.standin.runs().into_iter().filter(|run| run.request_id == "r1");
    let runs: Vec<_> = runs.collect();
    let [first, second, ..] = &runs[..] else { panic!("two servers run the stream: {runs:?}") };
    let end_of_first = || {
        let mut ends = fixture.standin.stream_ends().into_iter();
        ends.find(|end| end.run == first.number)
    };
    wait_for(|| end_of_first().is_some());
    let end = end_of_first().expect("the first run ended").at;
    let overlap = end.saturating_duration_since(second.at);
    assert!(overlap < MAX_OVERLAP, "both servers worked for {overlap:?}");
    // The first server may be tried again for a while.
    wait_for(|| {
        fixture.standin.stream_ends().iter().filter(|end| end.request_id == "r1").count()
            == runs.len()
    });
    let ends = fixture.standin.stream_ends();
    let overlaps = long_overlaps(&runs, &ends, Instant::now(), MAX_OVERLAP);
    assert!(overlaps.is_empty(), "{overlaps:?}");
}

#[test]
fn retry_budget_empty() {
    const STREAMS: usize = 80;
    let fixture = GatewayFixture::ready(PROGRAM, 45);
    let responses: Vec<CallerResponse> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                let fixture = &fixture;
                scope.spawn(move || {
                    fixture.call("POST", "/brief/1", &format!("r{number}"), Some(TEAM_KEY))
                })
            })
            .collect();
        wait_for(|| fixture.standin.runs().len() >= STREAMS);
        silence_all(&fixture, STREAM_PAUSE);
        callers.into_iter().map(|caller| caller.join().expect("valid in tests")).collect()
    });
    let cut = responses.iter().filter(|response| !is_complete(response)).count();
    assert_eq!(cut, 0, "streams without a complete answer");
}

#[test]
fn route_moves_meanwhile() {
    // The only other server of the old service leaves beside the change.
    let fixture = GatewayFixture::ready(PROGRAM, 46);
    let (stream, _) = call_and(&fixture, |index| {
        fixture.standin.silence_replica(index, STREAM_PAUSE);
        fixture.standin.register_replica(1 - index, "draining");
        fixture.standin.publish_config(9);
    });
    assert!(is_complete(&stream), "{stream:?}");
}

#[test]
fn other_server_takes_over() {
    let fixture = GatewayFixture::ready(PROGRAM, 47);
    // Past the deadline: only the other server can complete the stream.
    let (stream, _) = call_and(&fixture, |index| {
        fixture.standin.silence_replica(index, PAST_DEADLINE);
    });
    assert!(is_complete(&stream), "{stream:?}");
    assert_eq!(fixture.runs_of("r1"), 2);
}

#[test]
fn hedge_sends_only_its_head() {
    // The first server goes on while the second one has sent nothing but the head.
    let fixture = GatewayFixture::ready(PROGRAM, 48);
    let (stream, time) = call_and(&fixture, |index| {
        fixture.standin.silence_replica(index, STREAM_PAUSE);
        let mode = ReplicaMode::PauseAfter { events: 0, pause: PAST_DEADLINE };
        fixture.standin.set_replica_mode(1 - index, mode);
    });
    assert!(is_complete(&stream), "{stream:?}");
    assert!(time < STREAM_PAUSE + SLACK, "{time:?}");
}

#[test]
fn trickle_is_silence() {
    // Bytes that complete no event do not put off the hedge.
    let fixture = GatewayFixture::ready(PROGRAM, 49);
    for index in 0..2 {
        fixture.standin.set_replica_mode(index, ReplicaMode::TrickleAfter(3));
    }
    let (stream, time) = call_and(&fixture, |index| {
        fixture.standin.set_replica_mode(1 - index, ReplicaMode::Answer);
    });
    assert!(is_complete(&stream), "{stream:?}");
    assert!(time < STREAM_PAUSE + SLACK, "{time:?}");
}

#[test]
fn refused_hedge_is_replaced() {
    let fixture = start_servers(50, 3, 3);
    // The retry budget grows with the requests.
    for number in 0..20 {
        fixture.call("GET", "/look/1", &format!("look-{number}"), Some(TEAM_KEY));
    }
    let (stream, time) = call_and(&fixture, |index| {
        fixture.standin.set_replica_mode((index + 1) % 3, ReplicaMode::Refuse);
        fixture.standin.silence_replica(index, PAST_DEADLINE);
    });
    assert!(is_complete(&stream), "{stream:?}");
    assert!(time < STREAM_PAUSE + SLACK, "{time:?}");
}

#[test]
fn server_error_beside_silence() {
    // The second server's own error is the answer if the first one never answers.
    let fixture = GatewayFixture::ready(PROGRAM, 51);
    fixture.standin.silence_replica(0, PAST_DEADLINE);
    fixture.standin.set_replica_mode(1, ReplicaMode::Fail);
    let response = fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.signature.as_deref()), (500, Some("i-1")));
}
