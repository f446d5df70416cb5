//! Connections that stop delivering data while new ones to the same server work.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::request_session::RequestSession;
use pomelostack_lib::resource::LatencyTarget;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::retry_budget::RetryBudget;
use pomelostack_lib::session_event::MIN_TOKEN_GAP;
use pomelostack_lib::session_event::SessionAction;
use pomelostack_lib::session_event::SessionEvent;
use pomelostack_lib::session_event::SessionKind;
use pomelostack_lib::session_event::SessionLimits;
use pomelostack_lib::session_event::TOKEN_GAP_FACTOR;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use slotmap::SlotMap;
use testutils::driver_fixture::DriverFixture;
use testutils::driver_fixture::full_text;
use testutils::scripted_servers::AttemptScript;

const LIMITS: SessionLimits = SessionLimits {
    first_token: Duration::from_secs(1),
    token_gap: Duration::from_millis(500),
    caller_grace: Duration::from_secs(5),
    max_attempts: 6,
};
const DEADLINE: Timestamp = Timestamp::from_millis(60_000);

/// Returns a session whose first attempt runs on `server` and has relayed two tokens at time 0.
fn streaming(server: ServerKey) -> (RequestSession, RetryBudget) {
    let kind = SessionKind::Model { max_tokens: 9 };
    let mut session = RequestSession::new(kind, LIMITS, DEADLINE);
    let mut budget = RetryBudget::new(20);
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::Start, &mut budget);
    session.on_event(now, SessionEvent::ServerChosen(server), &mut budget);
    for offset in 0..2 {
        session.on_event(now, chunk(1, offset), &mut budget);
    }
    (session, budget)
}

fn chunk(attempt: u32, offset: u32) -> SessionEvent {
    let chunk = TokenChunk { offset, text: format!("{offset} ") };
    SessionEvent::Chunk { attempt: AttemptNumber(attempt), chunk }
}

fn keys() -> [ServerKey; 2] {
    let mut keys = SlotMap::<ServerKey, ()>::with_key();
    [keys.insert(()), keys.insert(())]
}

#[test]
fn resume_on_new_connection() {
    let [server, _] = keys();
    let (mut session, mut budget) = streaming(server);
    let now = session.next_timer();
    assert_eq!(now, Timestamp::from_millis(500));
    let actions = session.on_event(now, SessionEvent::Timer, &mut budget);
    let cancelled = SessionAction::CancelAttempt { attempt: AttemptNumber(1), server };
    assert_eq!(actions[0], cancelled);
    let SessionAction::StartAttempt(plan) = &actions[1] else { panic!("{actions:?}") };
    assert_eq!((plan.server, plan.resume_from, plan.fresh_connection), (server, 2, true));
    let actions = session.on_event(now, chunk(2, 2), &mut budget);
    assert_eq!(actions[0], SessionAction::RetireConnections(server));
    assert!(matches!(actions[1], SessionAction::Relay(_)));
    // Late output of the old connection is dropped.
    assert_eq!(session.on_event(now, chunk(1, 3), &mut budget), []);
}

#[test]
fn silent_server() {
    let [server, other] = keys();
    let (mut session, mut budget) = streaming(server);
    for _ in 0..2 {
        let now = session.next_timer();
        let actions = session.on_event(now, SessionEvent::Timer, &mut budget);
        if actions.contains(&SessionAction::SuspectServer(server)) {
            let choose = SessionAction::ChooseServer { excluded: vec![server] };
            assert_eq!(actions.last(), Some(&choose));
        }
    }
    let now = session.next_timer();
    let actions = session.on_event(now, SessionEvent::ServerChosen(other), &mut budget);
    let SessionAction::StartAttempt(plan) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!((plan.server, plan.resume_from), (other, 2));
    assert!(!plan.fresh_connection);
}

/// Without retry budget for a new connection, the session keeps waiting for the next token gap.
#[test]
fn exhausted_retry_budget() {
    let [server, _] = keys();
    let (mut session, mut budget) = streaming(server);
    let now = session.next_timer();
    while budget.try_spend(now) {}
    assert_eq!(session.on_event(now, SessionEvent::Timer, &mut budget), []);
    assert_eq!(session.current_server(), Some(server));
    assert!(session.next_timer() > now);
}

/// A non-idempotent call is never sent again, so silence does not end it before the deadline.
#[test]
fn non_idempotent_call() {
    let [server, _] = keys();
    let mut session =
        RequestSession::new(SessionKind::NonIdempotentCall, LIMITS, DEADLINE).with_claim(None);
    let mut budget = RetryBudget::new(20);
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::Start, &mut budget);
    session.on_event(now, SessionEvent::ServerChosen(server), &mut budget);
    assert_eq!(session.next_timer(), DEADLINE);
}

#[rstest]
#[case::from_target(100, Duration::from_millis(100) * TOKEN_GAP_FACTOR)]
#[case::least(1, MIN_TOKEN_GAP)]
fn token_gap_limit(#[case] token_gap_ms: u64, #[case] expected: Duration) {
    let target = LatencyTarget {
        first_token: Duration::from_secs(1),
        token_gap: Duration::from_millis(token_gap_ms),
        share_permille: 950,
    };
    assert_eq!(SessionLimits::from(&target).token_gap, expected);
}

#[test]
fn suspected_server() {
    let fixture = DriverFixture::new(2);
    fixture.servers.script(fixture.addresses[0], AttemptScript::TimeOutAfter(3));
    fixture.servers.script(fixture.addresses[0], AttemptScript::TimeOutAfter(0));
    let sink = fixture.run(fixture.model_request());
    assert_eq!(sink.ends[0].code(), ResultCode::Complete);
    assert_eq!(sink.text, full_text());
    let router = fixture.ports.router.lock().unwrap();
    let states: Vec<ServerState> = router.servers().map(|(_, info)| info.state).collect();
    assert_eq!(states, [ServerState::Suspected, ServerState::Live]);
}
