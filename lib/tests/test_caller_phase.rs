//! Limits on connections that wait for a request.

use std::time::Duration;

use pomelostack_lib::gateway::caller_phase::CallerPhase;
use pomelostack_lib::gateway::caller_phase::PhaseStep;
use pomelostack_lib::gateway::caller_phase::WaitLimits;
use pomelostack_lib::timestamp::Timestamp;

const LIMITS: WaitLimits =
    WaitLimits { idle: Duration::from_secs(10), head: Duration::from_secs(3) };

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn with_idle(seconds: u64) -> WaitLimits {
    WaitLimits { idle: Duration::from_secs(seconds), ..LIMITS }
}

#[test]
fn idle_closes() {
    let phase = CallerPhase::new(at(0), LIMITS);
    assert_eq!(phase.step(at(9), LIMITS), PhaseStep::WaitUntil(at(10)));
    assert_eq!(phase.step(at(10), LIMITS), PhaseStep::CloseIdle);
}

#[test]
fn limit_changes() {
    let phase = CallerPhase::new(at(0), LIMITS);
    assert_eq!(phase.step(at(10), with_idle(20)), PhaseStep::WaitUntil(at(20)));
    // The caller may not know of the lower limit yet.
    assert_eq!(phase.step(at(5), with_idle(1)), PhaseStep::WaitUntil(at(10)));
}

#[test]
fn slow_head_closes() {
    let idle = CallerPhase::new(at(0), LIMITS);
    let early = idle.on_bytes(at(1)).on_bytes(at(2));
    assert_eq!(early.step(at(9), LIMITS), PhaseStep::WaitUntil(at(10)));
    assert_eq!(early.step(at(10), LIMITS), PhaseStep::CloseSlowHead);
    let late = idle.on_bytes(at(9));
    assert_eq!(late.step(at(10), LIMITS), PhaseStep::WaitUntil(at(12)));
    assert_eq!(late.step(at(12), LIMITS), PhaseStep::CloseSlowHead);
}

#[test]
fn requests_stay() {
    let request = CallerPhase::Request;
    assert_eq!(request.step(at(100), LIMITS), PhaseStep::WaitUntil(at(110)));
    assert_eq!(request.on_flushed(at(100), LIMITS), request, "the response is not complete");
    let queued = request.on_response_queued();
    assert!(request.is_answering() && queued.is_answering());
    assert_eq!(queued.on_bytes(at(100)), queued);
    assert_eq!(queued.on_flushed(at(100), LIMITS), CallerPhase::new(at(100), LIMITS));
}
