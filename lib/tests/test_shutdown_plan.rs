//! Steps of a graceful shutdown.

use std::time::Duration;

use pomelostack_lib::gateway::shutdown_plan::BALANCER_DELAY;
use pomelostack_lib::gateway::shutdown_plan::ShutdownPlan;
use pomelostack_lib::gateway::shutdown_plan::ShutdownStep;
use pomelostack_lib::timestamp::Timestamp;

const GRACE: Duration = Duration::from_secs(8);

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(Timestamp::default(), GRACE)
}

#[test]
fn serves_at_first() {
    let now = Timestamp::default() + Duration::from_secs(1);
    assert_eq!(plan().step(now, 0), ShutdownStep::Serve);
    assert_eq!(plan().time_left(now), None, "the balancer still sends connections");
}

#[test]
fn exits_when_idle() {
    let now = Timestamp::default() + BALANCER_DELAY;
    assert_eq!(plan().step(now, 3), ShutdownStep::Drain);
    assert_eq!(plan().step(now, 0), ShutdownStep::Exit);
    assert!(plan().time_left(now).expect("valid in tests") < GRACE - BALANCER_DELAY);
}

#[test]
fn exits_before_kill() {
    let now = Timestamp::default() + Duration::from_millis(7_900);
    assert_eq!(plan().step(now, 3), ShutdownStep::Exit);
}
