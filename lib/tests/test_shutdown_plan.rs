//! Steps of a graceful shutdown.

use std::time::Duration;

use pomelostack_lib::gateway::shutdown_plan::BALANCER_DELAY;
use pomelostack_lib::gateway::shutdown_plan::DrainLoad;
use pomelostack_lib::gateway::shutdown_plan::ShutdownPlan;
use pomelostack_lib::gateway::shutdown_plan::ShutdownStep;
use pomelostack_lib::timestamp::Timestamp;

const GRACE: Duration = Duration::from_secs(8);

fn load(requests: usize, connections: usize) -> DrainLoad {
    DrainLoad { requests, connections }
}

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(Timestamp::default(), GRACE)
}

#[test]
fn serves_at_first() {
    let now = Timestamp::default() + Duration::from_secs(1);
    assert_eq!(plan().step(now, load(0, 0)), ShutdownStep::Serve);
    assert_eq!(plan().time_left(now), None, "the balancer still sends connections");
}

#[test]
fn exits_when_idle() {
    let now = Timestamp::default() + BALANCER_DELAY;
    assert_eq!(plan().step(now, load(3, 3)), ShutdownStep::Drain);
    assert_eq!(plan().step(now, load(0, 0)), ShutdownStep::Exit);
    assert!(plan().time_left(now).expect("valid in tests") < GRACE - BALANCER_DELAY);
}

#[test]
fn exits_before_kill() {
    let now = Timestamp::default() + Duration::from_millis(7_900);
    assert_eq!(plan().step(now, load(3, 3)), ShutdownStep::Exit);
}

/// An answer at the moment of the exit was not written any more (LOST).
#[test]
fn answers_before_exit() {
    let late = Timestamp::default() + Duration::from_millis(6_000);
    let end = late + plan().time_left(late).expect("valid in tests");
    assert_eq!(plan().step(end + Duration::from_millis(150), load(0, 1)), ShutdownStep::Drain);
}

#[test]
fn waits_for_connections() {
    let now = Timestamp::default() + BALANCER_DELAY;
    assert_eq!(plan().step(now, load(0, 1)), ShutdownStep::Drain, "a response is not written yet");
    assert_eq!(plan().step(now, load(1, 0)), ShutdownStep::Drain, "its caller has left");
    let end = Timestamp::default() + Duration::from_millis(7_900);
    assert_eq!(plan().step(end, load(0, 1)), ShutdownStep::Exit);
}
