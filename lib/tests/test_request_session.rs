//! The session state machine, compared with a naive model and run under seeded fault schedules.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::engine::ServerError;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::not_run::AttemptLedger;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::request_session::RequestSession;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::retry_budget::RetryBudget;
use pomelostack_lib::session_claim::ClaimDecision;
use pomelostack_lib::session_event::MAX_BUDGET_WAIT;
use pomelostack_lib::session_event::SessionAction;
use pomelostack_lib::session_event::SessionEvent;
use pomelostack_lib::session_event::SessionKind;
use pomelostack_lib::session_event::SessionLimits;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::timestamp::Timestamp;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use testutils::naive_session::NaiveSession;
use testutils::session_checker::InjectedBug;
use testutils::session_checker::ViolationCounts;
use testutils::session_harness::SessionHarness;

const LIMITS: SessionLimits = SessionLimits {
    first_token: Duration::from_secs(1),
    token_gap: Duration::from_millis(500),
    caller_grace: Duration::from_secs(5),
    max_attempts: 1_000,
};
const DEADLINE: Timestamp = Timestamp::from_millis(60_000);
const DEFAULT_SCHEDULES: u64 = 2_000;

#[derive(Clone, Debug)]
enum Arrival {
    /// A token of the attempt `attempts_back` before the current one, at `distance` from the next
    /// offset.
    Token {
        attempts_back: u32,
        distance: i64,
    },
    Lost,
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let token = |back: u32| {
        (0..back, -3..4_i64)
            .prop_map(|(attempts_back, distance)| Arrival::Token { attempts_back, distance })
    };
    vec(
        prop_oneof![8 => token(1), 3 => token(4), 1 => proptest::strategy::Just(Arrival::Lost)],
        0..120,
    )
}

fn run_naive(arrivals: &[Arrival]) -> (String, String) {
    let kind = SessionKind::Model { max_tokens: 1_000 };
    let mut session = RequestSession::new(kind, LIMITS, DEADLINE);
    let mut budget = RetryBudget::new(100);
    let mut naive = NaiveSession::default();
    let mut text = String::new();
    let mut pending = vec![SessionEvent::Start];
    let mut arrivals = arrivals.iter().enumerate();
    loop {
        let event = match pending.pop() {
            Some(event) => event,
            None => match arrivals.next() {
                Some((index, arrival)) => event_of(&session, &mut naive, index, arrival),
                None => return (text, naive.text()),
            },
        };
        budget.on_success();
        for action in session.on_event(Timestamp::default(), event, &mut budget) {
            match action {
                SessionAction::ChooseServer { .. } => {
                    pending.push(SessionEvent::ServerChosen(ServerKey::default()));
                }
                SessionAction::StartAttempt(plan) => naive.start_attempt(plan.attempt),
                SessionAction::Relay(chunk) => text.push_str(&chunk.text),
                _ => {}
            }
        }
    }
}

fn event_of(
    session: &RequestSession,
    naive: &mut NaiveSession,
    index: usize,
    arrival: &Arrival,
) -> SessionEvent {
    let current = session.last_attempt();
    match arrival {
        Arrival::Token { attempts_back, distance } => {
            let attempt = AttemptNumber(current.0.saturating_sub(*attempts_back));
            let next = i64::from(session.stream().next_offset());
            let offset = u32::try_from((next + distance).max(0)).unwrap();
            let chunk = TokenChunk { offset, text: format!("{}.{offset}.{index} ", attempt.0) };
            naive.on_chunk(attempt, &chunk);
            SessionEvent::Chunk { attempt, chunk }
        }
        Arrival::Lost => {
            let error = ServerError::Lost("test".to_owned());
            SessionEvent::AttemptFailed { attempt: current, error }
        }
    }
}

/// `PROPTEST_CASES` sets the number of cases.
#[test]
fn matches_naive() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    runner
        .run(&arrivals(), |arrivals| {
            let (text, naive) = run_naive(&arrivals);
            assert_eq!(text, naive);
            Ok(())
        })
        .unwrap();
}

fn play(schedules: u64, bug: InjectedBug) -> ViolationCounts {
    let mut total = ViolationCounts::default();
    for seed in 0..schedules {
        let counts = SessionHarness::draw(seed, bug).play();
        if bug == InjectedBug::None {
            assert_eq!(counts, ViolationCounts::default(), "seed {seed}");
        }
        total.corrupt_answers += counts.corrupt_answers;
        total.unanswered_after_notice += counts.unanswered_after_notice;
        total.double_runs += counts.double_runs;
        total.false_not_run += counts.false_not_run;
    }
    total
}

/// `POMELOSTACK_SCHEDULES` sets the number of schedules.
#[test]
fn no_violation() {
    let schedules = std::env::var("POMELOSTACK_SCHEDULES").ok();
    let schedules = schedules.map_or(DEFAULT_SCHEDULES, |text| text.parse().unwrap());
    play(schedules, InjectedBug::None);
}

/// The violation counts detect each injected bug.
#[test]
fn injected_bug() {
    let counts = play(1_000, InjectedBug::LostAsRefused);
    assert!(counts.double_runs > 0 && counts.false_not_run > 0, "{counts:?}");
    let counts = play(1_000, InjectedBug::StaleAsCurrent);
    assert!(counts.corrupt_answers > 0, "{counts:?}");
    let counts = play(1_000, InjectedBug::NoticesIgnored);
    assert!(counts.unanswered_after_notice > 0, "{counts:?}");
}

fn started(kind: SessionKind) -> (RequestSession, RetryBudget) {
    let mut session = RequestSession::new(kind, LIMITS, DEADLINE);
    let mut budget = RetryBudget::new(20);
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::Start, &mut budget);
    if kind == SessionKind::NonIdempotentCall {
        let won = ClaimDecision::Won { fence: None };
        session.on_event(now, SessionEvent::ClaimDecided(won), &mut budget);
    }
    (session, budget)
}

fn end_of(actions: &[SessionAction]) -> Option<&SessionEnd> {
    actions.iter().find_map(|action| match action {
        SessionAction::Finish(end) => Some(end),
        _ => None,
    })
}

fn error_of(index: usize) -> ServerError {
    let text = String::new();
    match index {
        0 => ServerError::NotConnected(text),
        1 => ServerError::Refused(text),
        2 => ServerError::Fenced(FencingToken(1)),
        3 => ServerError::Lost(text),
        4 => ServerError::TimedOut(Duration::ZERO),
        _ => ServerError::Malformed(text),
    }
}

/// The ledger proves that nothing ran only if the error of each attempt proves it.
#[test]
fn ledger_proof() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let attempts = vec(proptest::option::of(0..6_usize), 0..5);
    runner
        .run(&attempts, |attempts| {
            let mut ledger = AttemptLedger::default();
            for (number, error) in (1..).map(AttemptNumber).zip(&attempts) {
                ledger.begin(number);
                if let Some(error) = error {
                    ledger.observe(number, &error_of(*error));
                }
            }
            let all_refused = attempts.iter().all(|error| error.is_some_and(|index| index < 3));
            assert_eq!(ledger.proof().is_some(), all_refused);
            let never = ledger.proof() == Some(NotRunProof::NeverDispatched);
            assert_eq!(never, attempts.is_empty());
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_server() {
    let (mut session, mut budget) = started(SessionKind::IdempotentCall);
    let actions = session.on_event(Timestamp::default(), SessionEvent::NoServer, &mut budget);
    let Some(SessionEnd::NotRun { refusal, retry_after }) = end_of(&actions) else { panic!() };
    assert_eq!(refusal.code(), ResultCode::NoServer);
    assert_eq!(refusal.proof(), NotRunProof::NeverDispatched);
    assert!(retry_after.is_some());
}

fn lost(attempt: u32) -> SessionEvent {
    let error = ServerError::Lost("test".to_owned());
    SessionEvent::AttemptFailed { attempt: AttemptNumber(attempt), error }
}

/// Fires timers with an empty budget until the session ends; returns the time and result code.
fn play_empty(
    session: &mut RequestSession,
    budget: &mut RetryBudget,
) -> (Timestamp, Option<ResultCode>) {
    loop {
        let now = session.next_timer();
        while budget.try_spend(now) {}
        let actions = session.on_event(now, SessionEvent::Timer, budget);
        if session.is_finished() {
            return (now, end_of(&actions).map(SessionEnd::code));
        }
        assert_eq!(actions, []);
    }
}

/// A request whose attempt was lost waits for an empty retry budget up to `MAX_BUDGET_WAIT`, then
/// ends, long before its deadline.
#[test]
fn empty_budget() {
    let (mut session, mut budget) = started(SessionKind::Model { max_tokens: 9 });
    while budget.try_spend(Timestamp::default()) {}
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::ServerChosen(ServerKey::default()), &mut budget);
    assert_eq!(session.on_event(now, lost(1), &mut budget), []);
    let end = play_empty(&mut session, &mut budget);
    assert_eq!(end, (now + MAX_BUDGET_WAIT, Some(ResultCode::AttemptsLost)));
}

#[test]
fn refilled_budget() {
    let (mut session, mut budget) = started(SessionKind::Model { max_tokens: 9 });
    while budget.try_spend(Timestamp::default()) {}
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::ServerChosen(ServerKey::default()), &mut budget);
    session.on_event(now, lost(1), &mut budget);
    (0..10).for_each(|_| budget.on_success());
    let now = session.next_timer();
    let actions = session.on_event(now, SessionEvent::Timer, &mut budget);
    assert!(matches!(actions[..], [SessionAction::ChooseServer { .. }]), "{actions:?}");
}

/// A request whose attempts were all refused does not wait for the retry budget.
#[test]
fn refused_without_budget() {
    let (mut session, mut budget) = started(SessionKind::NonIdempotentCall);
    while budget.try_spend(Timestamp::default()) {}
    let now = Timestamp::default();
    session.on_event(now, SessionEvent::ServerChosen(ServerKey::default()), &mut budget);
    let error = ServerError::Refused("test".to_owned());
    let failed = SessionEvent::AttemptFailed { attempt: AttemptNumber(1), error };
    let actions = session.on_event(now, failed, &mut budget);
    assert_eq!(end_of(&actions).unwrap().code(), ResultCode::RetriesExhausted);
}

#[rstest]
#[case::before_dispatch(false, ResultCode::DeadlineUnreachable)]
#[case::after_dispatch(true, ResultCode::DeadlinePassed)]
fn deadline_passed(#[case] dispatched: bool, #[case] code: ResultCode) {
    let (mut session, mut budget) = started(SessionKind::NonIdempotentCall);
    let now = Timestamp::default();
    let event = match dispatched {
        true => SessionEvent::ServerChosen(ServerKey::default()),
        false => SessionEvent::ServersFull,
    };
    session.on_event(now, event, &mut budget);
    let actions = session.on_event(DEADLINE, SessionEvent::Timer, &mut budget);
    assert_eq!(end_of(&actions).unwrap().code(), code);
}

#[rstest]
#[case::waiting(false, SessionKind::NonIdempotentCall, Some(ResultCode::CallerGone))]
#[case::model_runs(true, SessionKind::Model { max_tokens: 9 }, Some(ResultCode::CallerLost))]
#[case::call_runs(true, SessionKind::NonIdempotentCall, None)]
fn caller_disconnected(
    #[case] dispatched: bool,
    #[case] kind: SessionKind,
    #[case] code: Option<ResultCode>,
) {
    let (mut session, mut budget) = started(kind);
    let now = Timestamp::default();
    if dispatched {
        session.on_event(now, SessionEvent::ServerChosen(ServerKey::default()), &mut budget);
    }
    let mut actions = session.on_event(now, SessionEvent::CallerDisconnected, &mut budget);
    let later = now + LIMITS.caller_grace;
    actions.extend(session.on_event(later, SessionEvent::Timer, &mut budget));
    assert_eq!(end_of(&actions).map(SessionEnd::code), code);
}
