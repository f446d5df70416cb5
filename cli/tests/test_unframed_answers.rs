//! Answers with neither a length nor chunks, which end with their connection.

use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::UnframedEnd;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

fn start(number: u8, ends: [UnframedEnd; 2]) -> GatewayFixture {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    for (index, end) in ends.into_iter().enumerate() {
        fixture.standin.set_replica_mode(index, ReplicaMode::Unframed(end));
    }
    fixture
}

#[test]
fn complete_answers() {
    let fixture = start(133, [UnframedEnd::Complete; 2]);
    for number in 0..5 {
        let stream = fixture.call("POST", "/brief/1", &format!("s{number}"), Some(TEAM_KEY));
        assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
        let call = fixture.call("POST", "/book/1", &format!("c{number}"), Some(TEAM_KEY));
        assert_eq!((call.status, call.body), (200, Some(format!("answer to c{number}"))));
        assert_eq!(fixture.runs_of(&format!("c{number}")), 1);
    }
}

#[test]
fn reset_call() {
    // Work that may run once gets no answer, and other work runs again.
    let fixture = start(134, [UnframedEnd::Reset; 2]);
    let book = fixture.call("POST", "/book/1", "b1", Some(TEAM_KEY));
    assert_eq!((book.status, fixture.runs_of("b1")), (502, 1));
    let look = fixture.call("GET", "/look/1", "l1", Some(TEAM_KEY));
    assert_eq!((look.status, fixture.runs_of("l1")), (502, 2));
}

#[test]
fn reset_stream() {
    let fixture = start(135, [UnframedEnd::Reset, UnframedEnd::Complete]);
    for number in 0..4 {
        let stream = fixture.call("POST", "/brief/1", &format!("s{number}"), Some(TEAM_KEY));
        assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    }
}

#[test]
fn stream_ends_inside_event() {
    let fixture = start(136, [UnframedEnd::InsideEvent, UnframedEnd::Complete]);
    for number in 0..4 {
        let stream = fixture.call("POST", "/brief/1", &format!("s{number}"), Some(TEAM_KEY));
        assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    }
    assert!(fixture.standin.runs().iter().any(|run| run.resumed_after.is_some()));
}

#[test]
fn broken_stream_is_truncated() {
    let fixture = start(137, [UnframedEnd::InsideEvent; 2]);
    let stream = fixture.call("POST", "/brief/1", "s1", Some(TEAM_KEY));
    assert_eq!(stream.body, None);
}
