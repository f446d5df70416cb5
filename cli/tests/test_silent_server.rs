//! Backend servers that fall silent for a while and go on: no answer ends because of it.

use std::time::Duration;

use rstest::rstest;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Longer than any limit on the time between two pieces of a stream, shorter than the deadline.
const STREAM_PAUSE: Duration = Duration::from_millis(3_000);

/// Longer than the time limits of two attempts, shorter than the deadline.
const ANSWER_PAUSE: Duration = Duration::from_millis(5_500);

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

fn silence_all(fixture: &GatewayFixture, duration: Duration) {
    (0..2).for_each(|index| fixture.standin.silence_replica(index, duration));
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
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        let run = fixture.standin.runs().into_iter().find(|run| run.request_id == "r1");
        let index = run.expect("valid in tests").replica;
        fixture.standin.silence_replica(index, STREAM_PAUSE);
        fixture.standin.register_replica(1 - index, "draining");
        fixture.standin.publish_config(9);
        caller.join().expect("valid in tests")
    });
    assert!(is_complete(&stream), "{stream:?}");
}

#[test]
fn other_server_takes_over() {
    let fixture = GatewayFixture::ready(PROGRAM, 47);
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        let run = fixture.standin.runs().into_iter().find(|run| run.request_id == "r1");
        let index = run.expect("valid in tests").replica;
        // Past the deadline: only the other server can complete the stream.
        fixture.standin.silence_replica(index, Duration::from_secs(60));
        caller.join().expect("valid in tests")
    });
    assert!(is_complete(&stream), "{stream:?}");
    assert_eq!(fixture.runs_of("r1"), 2);
}
