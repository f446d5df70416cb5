//! Requests that wait at a host: order, bounds, predictions and wake-ups.

use std::time::Duration;

use pomelostack_lib::gateway::quota::quota_limiter::PeerReachability;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaBounds;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaClaim;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaDecision;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaLimiter;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaRequest;
use pomelostack_lib::gateway::request_rank::RequestRank;
use pomelostack_lib::gateway::serving_config::TeamQuota;
use pomelostack_lib::gateway::waiting::retry_time::stated_retry_after;
use pomelostack_lib::gateway::waiting::waiting_line::EnterDecision;
use pomelostack_lib::gateway::waiting::waiting_line::FINAL_TRY_TIME;
use pomelostack_lib::gateway::waiting::waiting_line::MAX_TEAM_WAITING;
use pomelostack_lib::gateway::waiting::waiting_line::WaitBounds;
use pomelostack_lib::gateway::waiting::waiting_line::WaitCause;
use pomelostack_lib::gateway::waiting::waiting_line::WaitClass;
use pomelostack_lib::gateway::waiting::waiting_line::WaitRefusal;
use pomelostack_lib::gateway::waiting::waiting_line::WaitRequest;
use pomelostack_lib::gateway::waiting::waiting_line::WaitTicket;
use pomelostack_lib::gateway::waiting::waiting_line::WaitingLine;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::timestamp::Timestamp;

const GOAL: Duration = Duration::from_millis(800);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn chat() -> WaitCause {
    WaitCause::Server(ServiceName::try_from("chat").expect("a valid name"))
}

fn request(now: Timestamp, priority: u32) -> WaitRequest {
    let answer_time = Duration::from_millis(100);
    WaitRequest {
        cause: chat(),
        team: TeamName::try_from("club").ok(),
        rank: RequestRank { priority, route: priority },
        class: WaitClass::New,
        arrived_at: now,
        bounds: WaitBounds::new(now, now + Duration::from_secs(8), GOAL, answer_time),
        room_in: None,
        bytes: 4_000,
    }
}

fn enter(line: &mut WaitingLine, now: Timestamp, request: WaitRequest) -> WaitTicket {
    match line.enter(now, request) {
        EnterDecision::Waits { ticket, displaced } if displaced.is_empty() => ticket,
        decision => panic!("{decision:?}"),
    }
}

/// Builds a line whose service starts a request every `period_ms`, up to `now`.
fn paced_line(now: Timestamp, period_ms: u64) -> WaitingLine {
    let mut line = WaitingLine::default();
    (0..now.as_millis())
        .step_by(period_ms as usize)
        .for_each(|ms| line.on_started(at(ms), &chat()));
    line
}

/// Guards against less urgent requests, or new ones, that go before urgent and returning ones.
#[test]
fn rank_order() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let late = enter(&mut line, now, request(now, 2));
    let new = enter(&mut line, now, request(now, 1));
    let back = WaitRequest { class: WaitClass::Returning, ..request(now, 1) };
    let back = enter(&mut line, now, back);
    let urgent = enter(&mut line, now, request(now, 0));
    let stream = WaitRequest { class: WaitClass::Resumed, ..request(now, 1) };
    let stream = enter(&mut line, now, stream);
    assert_eq!(line.call_next(&chat()), Some(urgent));
    // Room for one may be room for the next one.
    for (served, next) in [(urgent, stream), (stream, back), (back, new), (new, late)] {
        assert_eq!(line.leave(served), Some(next));
    }
    assert_eq!(line.leave(late), None);
}

/// Guards against a new request that takes the room of one that waits for it.
#[test]
fn newcomers_queue() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    assert!(!line.must_wait(&request(now, 1)));
    enter(&mut line, now, request(now, 1));
    assert!(line.must_wait(&request(at(101), 1)));
    assert!(line.must_wait(&request(at(101), 2)));
    assert!(!line.must_wait(&request(at(101), 0)));
    // A stream that is taken up found room beside new requests before there were lines.
    let stream = WaitRequest { class: WaitClass::Resumed, ..request(at(101), 2) };
    assert!(!line.must_wait(&stream));
    let first = WaitRequest { class: WaitClass::Resumed, ..request(at(101), 0) };
    enter(&mut line, now, first.clone());
    assert!(line.must_wait(&WaitRequest { arrived_at: at(102), ..first }));
    // It waits for a server of its software version; others do not.
    assert!(!line.must_wait(&request(at(101), 0)));
}

/// Guards against a request that is held although its goal is out of reach.
#[test]
fn late_turn_refused() {
    let now = at(10_000);
    let mut line = paced_line(now, 200);
    let mut waiting = 0;
    while let EnterDecision::Waits { .. } = line.enter(now, request(now, 1)) {
        waiting += 1;
    }
    // 700 ms until the start, of which seven tenths are relied on.
    assert_eq!(waiting, 2);
    let EnterDecision::Refused(WaitRefusal::OutOfReach { expected: Some(expected) }) =
        line.enter(now, request(now, 1))
    else {
        panic!("the request waits");
    };
    assert!(expected > Duration::from_millis(500) && expected < Duration::from_millis(700));
}

/// Guards against a less urgent request that is held until its goal has passed because urgent ones
/// keep coming.
#[test]
fn urgent_displaces() {
    let now = at(10_000);
    let mut line = paced_line(now, 200);
    let first = enter(&mut line, now, request(now, 2));
    enter(&mut line, now, request(now, 1));
    enter(&mut line, now, request(now, 0));
    let decision = line.enter(now, request(now, 0));
    assert!(
        matches!(&decision, EnterDecision::Waits { displaced, .. } if *displaced == [first]),
        "{decision:?}"
    );
    assert_eq!(line.len(), 3);
}

/// Guards against a request without a predicted turn that waits for longer than a part of its goal.
#[test]
fn unsure_wait_reviewed() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let ticket = enter(&mut line, now, request(now, 1));
    assert_eq!(request(now, 1).bounds.unsure_time, GOAL / 8);
    let refusal = line.review(now + GOAL / 8, ticket);
    assert_eq!(refusal, Some(WaitRefusal::OutOfReach { expected: None }));
    (100..200).step_by(20).for_each(|ms| line.on_started(at(ms), &chat()));
    assert_eq!(line.review(at(200), ticket), None);
}

/// Guards against all requests being woken for the room of one.
#[test]
fn one_called() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let first = enter(&mut line, now, request(now, 1));
    let second = enter(&mut line, now, request(now, 1));
    assert_eq!(line.call_next(&chat()), Some(first));
    assert_eq!(line.call_next(&chat()), None);
    // There is no room for the first: then there is none for the second, unless the first can use
    // some servers only.
    assert_eq!(line.on_tried(first, false), None);
    assert_eq!(line.call_next(&chat()), Some(first));
    assert_eq!(line.on_tried(first, true), Some(second));
    assert_eq!(line.leave(second), Some(first));
}

/// Guards against a caller that leaves while it was told to try, so that nobody uses the room.
#[test]
fn caller_leaves() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let first = enter(&mut line, now, request(now, 1));
    let second = enter(&mut line, now, request(now, 1));
    assert_eq!(line.call_next(&chat()), Some(first));
    assert_eq!(line.leave(first), Some(second));
    assert_eq!(line.leave(second), None);
    assert_eq!(line.len(), 0);
}

/// Guards against ten thousand callers of one team that fill the memory or keep others out.
#[test]
fn greedy_team() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let refused = (0..10_000)
        .filter(|_| {
            line.enter(now, request(now, 1)) == EnterDecision::Refused(WaitRefusal::TeamFull)
        })
        .count();
    assert_eq!((line.len(), refused), (MAX_TEAM_WAITING, 10_000 - MAX_TEAM_WAITING));
    let other = WaitRequest { team: TeamName::try_from("guild").ok(), ..request(now, 1) };
    enter(&mut line, now, other);
    let large = WaitRequest { team: None, bytes: 3 << 20, ..request(now, 1) };
    assert_eq!(line.enter(now, large), EnterDecision::Refused(WaitRefusal::TeamFull));
}

/// Guards against requests that wait at a host which is stopped.
#[test]
fn host_stops() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let first = enter(&mut line, now, request(now, 1));
    let second = enter(&mut line, now, request(now, 1));
    assert_eq!(line.close(), [first, second]);
    assert!(line.is_empty());
    let decision = line.enter(now, request(now, 1));
    assert_eq!(decision, EnterDecision::Refused(WaitRefusal::Closed));
}

/// Guards against a host that was frozen and runs requests whose goals passed meanwhile.
#[test]
fn frozen_host() {
    let (mut line, now) = (WaitingLine::default(), at(100));
    let old = enter(&mut line, now, request(now, 0));
    let new = enter(&mut line, at(700), request(at(700), 1));
    assert_eq!(line.expire(at(800)), []);
    assert_eq!(line.expire(at(800) + FINAL_TRY_TIME), [old]);
    assert_eq!(line.call_next(&chat()), Some(new));
}

/// Guards against a wait past the part of the deadline that leaves time for an answer.
#[test]
fn deadline_bounds() {
    let now = at(1_000);
    let bounds = WaitBounds::new(now, at(1_400), GOAL, Duration::ZERO);
    assert_eq!(bounds.start_by, at(1_300));
    let bounds = WaitBounds::new(now, at(9_000), GOAL, GOAL * 2);
    assert_eq!(bounds.start_by, now);
}

/// Guards against callers that come back together, too late, or in vain.
#[test]
fn spread_retries() {
    let left = Duration::from_millis(6_000);
    let delay = |id: &str| stated_retry_after(Duration::from_millis(1_000), left, id);
    let delays: Vec<Duration> = (0..100).map(|id| delay(&format!("r-{id}"))).collect();
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(least.is_some_and(|delay| *delay < Duration::from_millis(1_050)));
    assert!(most.is_some_and(|delay| *delay > Duration::from_millis(1_450)));
    // A third of the time left is honoured.
    assert!((0..100).all(|id| {
        let id = format!("r-{id}");
        stated_retry_after(Duration::from_millis(1_900), left, &id) <= left / 3
    }));
    let hopeless = Duration::from_millis(2_500);
    assert_eq!(stated_retry_after(hopeless, left, "r-1"), hopeless);
}

/// Guards against a request that waits for quota on and on, or gets it, although the quota was lowered
/// meanwhile.
#[test]
fn lowered_quota() {
    let window = Duration::from_secs(8);
    let bounds = QuotaBounds { window, tolerance_ratio: 0.0, tolerance_units: 0.0 };
    let mut limiter = QuotaLimiter::new(bounds);
    let team = TeamName::try_from("club").expect("a valid name");
    let mut ask = |now, rate, has_asked| {
        let rank = RequestRank { priority: 1, route: 1 };
        let request = QuotaRequest { units: 2_000, claim: QuotaClaim::New, rank, has_asked };
        let reachability = PeerReachability::Majority { silent: 0, known: 1 };
        let quota = TeamQuota { rate, burst: 0 };
        match limiter.admit(now, &team, quota, request, reachability) {
            QuotaDecision::Admitted => None,
            QuotaDecision::Exceeded { retry_after, .. } => Some(retry_after),
        }
    };
    let soon = Duration::from_millis(300);
    let refused = (1..2_000).find_map(|step| {
        let now = at(step * 10);
        ask(now, 10_000, false).filter(|retry_after| *retry_after <= soon).map(|room| (now, room))
    });
    let (now, room_in) = refused.expect("the quota is free again soon");
    let bounds = request(now, 1).bounds;
    assert!(bounds.allows(now, room_in));
    let lowered = ask(now, 100, true).expect("the lowered quota is spent");
    assert!(!bounds.allows(now, lowered), "{lowered:?}");
}
