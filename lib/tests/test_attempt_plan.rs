//! Steps after failed attempts: work that is not repeatable never runs twice, and a request ends
//! with NOT_RUN only if no server can have run it.

use std::time::Duration;

use pomelostack_lib::gateway::attempt_plan::AttemptFailure;
use pomelostack_lib::gateway::attempt_plan::AttemptPlan;
use pomelostack_lib::gateway::attempt_plan::AttemptStep;
use pomelostack_lib::gateway::attempt_plan::GiveUpReason;
use pomelostack_lib::gateway::serving_config::RequestKind;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use slotmap::SlotMap;

const DEADLINE: Duration = Duration::from_secs(10);

fn plan(kind: RequestKind, max_servers: u32) -> AttemptPlan {
    AttemptPlan::new(kind, Timestamp::default() + DEADLINE, max_servers)
}

fn fail(plan: &mut AttemptPlan, failure: AttemptFailure) -> AttemptStep {
    plan.on_failure(Timestamp::default(), ServerKey::default(), failure)
}

#[rstest]
#[case(RequestKind::Once)]
#[case(RequestKind::Stream { resumable: false })]
fn lost_not_retried(#[case] kind: RequestKind) {
    let mut plan = plan(kind, 3);
    assert_eq!(fail(&mut plan, AttemptFailure::Lost), AttemptStep::End(GiveUpReason::Unknown));
}

#[test]
fn refused_is_retried() {
    let mut plan = plan(RequestKind::Once, 2);
    let step = fail(&mut plan, AttemptFailure::Refused);
    assert_eq!(step, AttemptStep::TryAnother { is_retry: true });
    let step = fail(&mut plan, AttemptFailure::Refused);
    assert_eq!(step, AttemptStep::End(GiveUpReason::NotRun));
}

#[test]
fn unsent_costs_nothing() {
    let mut plan = plan(RequestKind::Once, 1);
    let step = fail(&mut plan, AttemptFailure::Unsent);
    assert_eq!(step, AttemptStep::TryAnother { is_retry: false });
}

#[test]
fn error_is_relayed() {
    let mut plan = plan(RequestKind::Idempotent, 2);
    let step = fail(&mut plan, AttemptFailure::Failed);
    assert_eq!(step, AttemptStep::TryAnother { is_retry: true });
    assert_eq!(fail(&mut plan, AttemptFailure::Failed), AttemptStep::RelayFailure);
}

#[test]
fn near_deadline() {
    let mut plan = plan(RequestKind::Idempotent, 3);
    let late = Timestamp::default() + DEADLINE - Duration::from_millis(5);
    let step = plan.on_failure(late, ServerKey::default(), AttemptFailure::Refused);
    assert_eq!(step, AttemptStep::End(GiveUpReason::NotRun));
}

#[test]
fn timeout_reason() {
    let plan = plan(RequestKind::Once, 1);
    assert_eq!(plan.on_timeout(false), GiveUpReason::NotRun);
    assert_eq!(plan.on_timeout(true), GiveUpReason::TimedOut);
}

#[rstest]
#[case(RequestKind::Once, 3, false)]
#[case(RequestKind::Stream { resumable: false }, 3, false)]
#[case(RequestKind::Idempotent, 1, false)]
#[case(RequestKind::Idempotent, 2, true)]
#[case(RequestKind::Stream { resumable: true }, 2, true)]
fn hedge_allowed(#[case] kind: RequestKind, #[case] max_servers: u32, #[case] allowed: bool) {
    let plan = plan(kind, max_servers);
    assert_eq!(plan.may_hedge(Timestamp::default()), allowed);
    assert!(!plan.may_hedge(Timestamp::default() + DEADLINE));
}

#[test]
fn failed_hedge_ends_nothing() {
    let mut plan = plan(RequestKind::Idempotent, 2);
    plan.on_hedge_started();
    assert_eq!(fail(&mut plan, AttemptFailure::Refused), AttemptStep::AwaitOther);
    assert_eq!(fail(&mut plan, AttemptFailure::Lost), AttemptStep::End(GiveUpReason::Unknown));
}

#[test]
fn dropped_hedge_counts() {
    let mut plan = plan(RequestKind::Stream { resumable: true }, 2);
    plan.on_hedge_started();
    plan.on_hedge_dropped(ServerKey::default());
    assert!(!plan.may_hedge(Timestamp::default()));
    assert_eq!(fail(&mut plan, AttemptFailure::Lost), AttemptStep::End(GiveUpReason::Unknown));
}

fn any_failure() -> impl Strategy<Value = AttemptFailure> {
    prop_oneof![
        Just(AttemptFailure::Unsent),
        Just(AttemptFailure::Refused),
        Just(AttemptFailure::Misdirected),
        Just(AttemptFailure::Lost),
        Just(AttemptFailure::Failed),
    ]
}

fn any_kind() -> impl Strategy<Value = RequestKind> {
    prop_oneof![
        Just(RequestKind::Idempotent),
        Just(RequestKind::Once),
        Just(RequestKind::Stream { resumable: false }),
        Just(RequestKind::Stream { resumable: true }),
    ]
}

#[test]
fn returns_are_bounded() {
    let mut servers = SlotMap::<ServerKey, ()>::with_key();
    let (first, second) = (servers.insert(()), servers.insert(()));
    let mut plan = plan(RequestKind::Stream { resumable: true }, 2);
    let mut now = Timestamp::default();
    assert_eq!(plan.return_server(now), None);
    plan.on_hedge_started();
    plan.on_moved(first);
    assert!(!plan.may_hedge(now), "two servers have it");
    let mut trials = 0;
    while plan.trial_server(now) == Some(first) {
        trials += 1;
        plan.on_returned(now);
        plan.on_hedge_started();
        assert_eq!(plan.trial_server(now), None, "one trial at a time");
        plan.on_trial_ended();
        assert_eq!(plan.trial_server(now), None, "trials are some time apart");
        now = now + Duration::from_secs(1);
    }
    assert_eq!(trials, 3);
    let step = plan.on_failure(now, second, AttemptFailure::Lost);
    assert_eq!(step, AttemptStep::End(GiveUpReason::Unknown));
}

#[rstest]
#[case(AttemptFailure::Refused)]
#[case(AttemptFailure::Lost)]
#[case(AttemptFailure::Failed)]
fn failed_move_returns(#[case] failure: AttemptFailure) {
    let mut servers = SlotMap::<ServerKey, ()>::with_key();
    let (first, second) = (servers.insert(()), servers.insert(()));
    let mut plan = plan(RequestKind::Stream { resumable: true }, 2);
    plan.on_hedge_started();
    plan.on_moved(first);
    let now = Timestamp::default();
    assert_eq!(plan.on_failure(now, second, failure), AttemptStep::Return);
    assert_eq!(plan.return_server(now), Some(first));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold(
        kind in any_kind(),
        max_servers in 1_u32..4,
        failures in prop::collection::vec(any_failure(), 1..12),
    ) {
        let mut plan = plan(kind, max_servers);
        let mut runs = 0;
        let mut sends = 0;
        for failure in failures {
            let may_have_run = matches!(failure, AttemptFailure::Lost | AttemptFailure::Failed);
            runs += u32::from(may_have_run);
            sends += u32::from(may_have_run || failure == AttemptFailure::Refused);
            match fail(&mut plan, failure) {
                AttemptStep::TryAnother { .. } => {
                    prop_assert!(runs == 0 || kind.is_repeatable());
                    prop_assert!(sends < max_servers);
                }
                AttemptStep::AwaitOther => prop_assert!(false, "no other attempt is in flight"),
                AttemptStep::Return => prop_assert!(false, "it was given up nowhere"),
                AttemptStep::End(GiveUpReason::NotRun) => {
                    prop_assert_eq!(runs, 0);
                    break;
                }
                AttemptStep::End(_) | AttemptStep::RelayFailure => {
                    prop_assert!(runs > 0);
                    break;
                }
            }
        }
    }

    #[test]
    fn hedges_stay_within_attempts(
        kind in any_kind(),
        max_servers in 1_u32..5,
        events in prop::collection::vec((any_failure(), any::<bool>(), any::<bool>()), 1..12),
    ) {
        let mut plan = plan(kind, max_servers);
        let mut ended = 0;
        let mut ran = false;
        for (failure, hedge, drop_other) in events {
            let is_hedged = hedge && plan.may_hedge(Timestamp::default());
            if is_hedged {
                prop_assert!(kind.is_repeatable());
                prop_assert!(ended + 2 <= max_servers);
                plan.on_hedge_started();
                prop_assert!(!plan.may_hedge(Timestamp::default()));
            }
            if is_hedged && drop_other {
                plan.on_hedge_dropped(ServerKey::default());
                ended += 1;
                ran = true;
                continue;
            }
            ran |= matches!(failure, AttemptFailure::Lost | AttemptFailure::Failed);
            ended += u32::from(!matches!(
                failure,
                AttemptFailure::Unsent | AttemptFailure::Misdirected
            ));
            let step = fail(&mut plan, failure);
            prop_assert_eq!(step == AttemptStep::AwaitOther, is_hedged);
            match step {
                AttemptStep::AwaitOther => {}
                AttemptStep::Return => prop_assert!(false, "it was given up nowhere"),
                AttemptStep::TryAnother { .. } => {
                    prop_assert!(!ran || kind.is_repeatable());
                    prop_assert!(ended < max_servers);
                }
                AttemptStep::End(give_up) => {
                    prop_assert_eq!(give_up == GiveUpReason::NotRun, !ran);
                    break;
                }
                AttemptStep::RelayFailure => {
                    prop_assert!(ran);
                    break;
                }
            }
        }
    }
}
