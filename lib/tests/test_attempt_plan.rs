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
}
