//! What the holder of the duties records next of a roll-out.
//!
//! Failure pattern: the holder is lost before or after a record, its append takes effect without an answer,
//! the store comes back from an older copy, and another host goes on from what the log says. The plan
//! therefore depends on nothing but the order, the newest record and what all hosts report. A state that is
//! final for this host or a peer is recorded again where the log has lost it, and nothing else ever is.

use std::time::Duration;

use crate::gateway::rollout::evidence_judge::Evidence;
use crate::gateway::rollout::exposure_meter::RolloutBounds;
use crate::gateway::rollout::rollout_order::RolloutState;
use crate::gateway::rollout::rollout_order::RolloutStep;

/// Longest time before the deadline at which the roll-out is decided: a version that fails until then is
/// noticed, and an append that gets no answer within a second can be repeated.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1_500);

/// The same as a fraction of the order's time, for short ones.
const DECISION_TIME_FRACTION: f64 = 0.125;

/// Time before the decision in which new requests move over as far as they may, so that short requests
/// of the old servers end before these stop.
const MOVE_TIME: Duration = Duration::from_millis(700);

/// Time before the deadline until which missing evidence is waited for.
const LAST_CALL_TIME: Duration = Duration::from_millis(600);

/// Time after the deadline until which a version that is proven good is still completed, if the store was
/// unavailable at the deadline.
const LATE_TIME: Duration = Duration::from_secs(10);

/// First step: share of the requests, until so many answers came or for a fraction of the time left.
const FIRST_SHARE: f64 = 0.02;
const FIRST_ANSWERS: u64 = 10;
const FIRST_TIME_FRACTION: f64 = 0.15;

/// Part of the usable share that proves the version; the rest is kept to move requests over at the end.
const PROOF_FRACTION: f64 = 0.6;

/// Largest share that proves the version. What was not sent in the time before is sent later at a higher share,
/// and to more servers.
const MAX_PROOF_SHARE: f64 = 0.25;

/// Requests that may be sent during an order below which the new version is always on.
const FEW_REQUESTS: f64 = 60.0;

/// Time for which the states that peers report are awaited after the store came back from a copy, or may
/// have.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Ready servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadyServers {
    /// Servers of the new version.
    pub new: u32,
    /// All others.
    pub old: u32,
}

/// The newest record of a service's roll-outs, as the holder read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedState {
    /// There is none, or that of an earlier order that has ended.
    Nothing,
    /// That of another version's order, which has not ended.
    OtherRunning,
    /// One of this order in an earlier era of the store. Hosts do not follow it any more.
    Outdated(RolloutStep),
    /// The current one of this order.
    Current(RolloutState, RolloutStep),
}

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput {
    /// Time since the order.
    pub age: Duration,
    /// Time within which the roll-out must end.
    pub duration: Duration,
    /// Time since the current step was read.
    pub step_age: Duration,
    /// Newest record.
    pub recorded: RecordedState,
    /// How the roll-out ended as far as this host or a peer knows.
    pub ended: Option<RolloutState>,
    /// Whether the operator removed the order.
    pub is_withdrawn: bool,
    /// Whether this host sends nothing to the version any more, since its answers are bad.
    pub is_stopped: bool,
    /// Whether the version served alone before it was ordered.
    pub served_alone: bool,
    /// Time since the store came back from a copy, if it has lately.
    pub restored_for: Option<Duration>,
    /// Time since this host found the order at its start, if it did not see it arrive.
    pub found_for: Option<Duration>,
    /// What the answers show.
    pub evidence: Evidence,
    /// Ready servers.
    pub servers: ReadyServers,
    /// Requests of all hosts since the order.
    pub arrivals: u64,
    /// Bounds.
    pub bounds: RolloutBounds,
}

/// Why a record is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReason {
    /// A record was lost, or belongs to an earlier era.
    Restated,
    /// The order was seen.
    Ordered,
    /// The next step began.
    Advanced,
    /// The version's answers are bad.
    Bad,
    /// The version is proven good.
    Proven,
    /// The version was the only one before the order.
    ServedAlone,
    /// There was too little evidence at the end.
    Unproven,
    /// There were no servers of the version, or too few to take over.
    TooFewServers,
    /// The operator removed the order.
    Withdrawn,
    /// The operator ordered another version.
    Superseded,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// Nothing.
    Wait,
    /// Record that the version of the former order is rolled back.
    EndOther,
    /// Record a state.
    Record(RolloutState, RolloutStep, PlanReason),
}

/// Decides what to record next.
pub fn plan_next(input: &PlanInput) -> PlanAction {
    if input.recorded == RecordedState::OtherRunning {
        return PlanAction::EndOther;
    }
    let step = match input.recorded {
        RecordedState::Current(state, _) if state.is_final() => return PlanAction::Wait,
        RecordedState::Current(_, step) => Some(step),
        _ => None,
    };
    if let Some(state) = input.ended {
        return PlanAction::Record(state, RolloutStep::default(), PlanReason::Restated);
    }
    let is_settling = |time: Option<Duration>| time.is_some_and(|time| time < RESTORE_SETTLE_TIME);
    // A host that has started since does not know what the store has lost.
    if is_settling(input.restored_for) || (step.is_none() && is_settling(input.found_for)) {
        return PlanAction::Wait;
    }
    if let Some((state, reason)) = decide(input) {
        return PlanAction::Record(state, RolloutStep::default(), reason);
    }
    let Some(step) = step else {
        let reason = match input.recorded {
            RecordedState::Outdated(_) => PlanReason::Restated,
            _ => PlanReason::Ordered,
        };
        return PlanAction::Record(RolloutState::Running, RolloutStep::default(), reason);
    };
    let next = next_step(input, step);
    match next == step {
        true => PlanAction::Wait,
        false => PlanAction::Record(RolloutState::Running, next, PlanReason::Advanced),
    }
}

/// Returns when the roll-out is decided, after the order.
fn decision_time(duration: Duration) -> Duration {
    duration - MAX_DECISION_TIME.min(duration.mul_f64(DECISION_TIME_FRACTION))
}

/// Returns how the roll-out ends, if it does now.
fn decide(input: &PlanInput) -> Option<(RolloutState, PlanReason)> {
    let PlanInput { age, duration, servers, evidence, .. } = *input;
    if input.is_withdrawn {
        return Some((RolloutState::RolledBack, PlanReason::Withdrawn));
    }
    if input.served_alone && servers.old == 0 && servers.new > 0 {
        return Some((RolloutState::Completed, PlanReason::ServedAlone));
    }
    if evidence.is_bad() || input.is_stopped {
        return Some((RolloutState::RolledBack, PlanReason::Bad));
    }
    if age < decision_time(duration) {
        return None;
    }
    let can_take_over = servers.new > 0 && servers.new >= servers.old.div_ceil(2);
    if evidence.is_good() && can_take_over && age < duration + LATE_TIME {
        return Some((RolloutState::Completed, PlanReason::Proven));
    }
    let last_call = duration - LAST_CALL_TIME.min(duration.mul_f64(DECISION_TIME_FRACTION / 2.0));
    if age < last_call {
        return None;
    }
    let reason = if can_take_over { PlanReason::Unproven } else { PlanReason::TooFewServers };
    Some((RolloutState::RolledBack, reason))
}

/// Returns the step that follows, or the same one.
fn next_step(input: &PlanInput, step: RolloutStep) -> RolloutStep {
    let PlanInput { age, duration, servers, evidence, bounds, .. } = *input;
    if servers.new == 0 || servers.old == 0 {
        return step;
    }
    let usable = bounds.used_share();
    let move_at = decision_time(duration).saturating_sub(MOVE_TIME.min(duration / 8));
    match step.number {
        0 => RolloutStep {
            number: 1,
            share: thousandths(FIRST_SHARE.min(usable)),
            limit: thousandths(FIRST_SHARE.min(usable)),
            servers: 1,
            on: 1_000,
        },
        1 if evidence.answers.0 >= FIRST_ANSWERS
            || input.step_age >= move_at.saturating_sub(age).mul_f64(FIRST_TIME_FRACTION) =>
        {
            proof_step(input, usable * PROOF_FRACTION, move_at)
        }
        2 if age >= move_at && evidence.has_answers() => RolloutStep {
            number: 3,
            share: 1_000,
            limit: thousandths(usable),
            servers: servers.new,
            on: 1_000,
        },
        _ => step,
    }
}

/// Returns the step in which so many of the new servers are used, and for so much of the time, that they
/// are as loaded as the old ones.
fn proof_step(input: &PlanInput, limit: f64, move_at: Duration) -> RolloutStep {
    let (new, old) = (f64::from(input.servers.new), f64::from(input.servers.old));
    let left = move_at.saturating_sub(input.age).as_secs_f64().max(0.1);
    let wanted = (limit * move_at.as_secs_f64() / left).min(MAX_PROOF_SHARE);
    let used = (wanted * old / (1.0 - wanted)).floor().clamp(1.0, new);
    let share = used / (old + used);
    let elapsed = input.age.as_secs_f64().max(0.1);
    let expected = input.arrivals as f64 / elapsed * input.duration.as_secs_f64() * limit;
    let on = if expected < FEW_REQUESTS { 1.0 } else { (wanted / share).min(1.0) };
    RolloutStep {
        number: 2,
        share: thousandths(share),
        limit: thousandths(limit),
        servers: used as u32,
        on: thousandths(on),
    }
}

fn thousandths(share: f64) -> u32 {
    (share * 1_000.0).round().clamp(0.0, 1_000.0) as u32
}
