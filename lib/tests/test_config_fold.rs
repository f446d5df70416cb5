//! The configuration fold: its rules one by one, and agreement with the naive fold on random
//! changes.

use pomelostack_lib::config_fold::ChangeOutcome;
use pomelostack_lib::config_fold::ChangeStatus;
use pomelostack_lib::config_fold::ConfigFold;
use pomelostack_lib::config_fold::MAX_HISTORY_ENTRIES;
use pomelostack_lib::config_fold::MAX_KNOWN_CHANGES;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ResourceBody;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::protos::config as proto;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::resource_key::ResourceKey;
use pomelostack_lib::resource_key::ResourceKind;
use pomelostack_lib::result_code::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use prost::Message as _;
use testutils::config_samples::change_service;
use testutils::config_samples::create_service;
use testutils::config_samples::document_json;
use testutils::config_samples::sample_change;
use testutils::config_samples::service_json;
use testutils::config_samples::team_json;
use testutils::naive_config::NaiveConfig;
use testutils::naive_config::NaiveOutcome;

/// Environment variable with the number of random cases.
const CASES_VARIABLE: &str = "POMELOSTACK_CASES";

fn runner() -> TestRunner {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let config = Config { cases: cases.unwrap_or(256), ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Folds changes at offsets from 0 on.
fn fold_all(changes: &[ConfigChange]) -> ConfigFold {
    let mut fold = ConfigFold::default();
    for (offset, change) in (0..).zip(changes) {
        fold.apply(LogOffset(offset), change);
    }
    fold
}

fn outcome_of(fold: &ConfigFold, change: &ConfigChange) -> ChangeOutcome {
    fold.known_change(change.id).expect("change is known").outcome.clone()
}

fn rejection_code(fold: &ConfigFold, change: &ConfigChange) -> ResultCode {
    match outcome_of(fold, change) {
        ChangeOutcome::Rejected(error) => error.code,
        other => panic!("{other:?} is no rejection"),
    }
}

fn team_operation(name: &str, service: &str) -> ResourceOperation {
    let json = team_json(name, 1);
    let json = json.replace('}', &format!(r#","services":["{service}"]}}"#));
    ResourceOperation::Create(ResourceBody { kind: ResourceKind::Team, json })
}

#[test]
fn stale_base() {
    let changes = [
        sample_change(1, None, vec![create_service("a", 1)]),
        sample_change(2, Some(0), vec![change_service("a", 2)]),
        sample_change(3, Some(0), vec![change_service("a", 3)]),
        sample_change(4, Some(9), vec![change_service("a", 4)]),
    ];
    let fold = fold_all(&changes);
    assert_eq!(outcome_of(&fold, &changes[1]), ChangeOutcome::Accepted);
    assert_eq!(outcome_of(&fold, &changes[2]), ChangeOutcome::Conflict(Some(LogOffset(1))));
    assert_eq!(outcome_of(&fold, &changes[3]), ChangeOutcome::Conflict(Some(LogOffset(1))));
    assert_eq!(fold.revision(), Some(LogOffset(1)));
}

#[test]
fn separate_resources() {
    let changes = [
        sample_change(1, None, vec![create_service("a", 1), create_service("b", 1)]),
        sample_change(2, Some(0), vec![change_service("a", 2)]),
        sample_change(3, Some(0), vec![change_service("b", 2)]),
        sample_change(4, Some(1), vec![ResourceOperation::PutWhole(document_json(&[], &[]))]),
    ];
    let fold = fold_all(&changes);
    assert_eq!(outcome_of(&fold, &changes[2]), ChangeOutcome::Accepted);
    assert_eq!(outcome_of(&fold, &changes[3]), ChangeOutcome::Conflict(Some(LogOffset(2))));
}

#[test]
fn concurrent_delete() {
    let key = ResourceKey::parse(ResourceKind::Service, "a").unwrap();
    let changes = [
        sample_change(1, None, vec![create_service("a", 1)]),
        sample_change(2, Some(0), vec![ResourceOperation::Delete(key)]),
        sample_change(3, Some(0), vec![create_service("a", 2)]),
        sample_change(4, Some(1), vec![change_service("a", 2)]),
    ];
    let fold = fold_all(&changes);
    assert_eq!(outcome_of(&fold, &changes[2]), ChangeOutcome::Conflict(Some(LogOffset(1))));
    assert_eq!(rejection_code(&fold, &changes[3]), ResultCode::ResourceUnknown);
}

#[test]
fn atomic_change() {
    let changes = [
        sample_change(1, None, vec![create_service("a", 1)]),
        sample_change(2, Some(0), vec![create_service("b", 1), create_service("a", 2)]),
        sample_change(3, Some(0), vec![create_service("c", 1), team_operation("t", "missing")]),
    ];
    let fold = fold_all(&changes);
    assert_eq!(rejection_code(&fold, &changes[1]), ResultCode::ResourceExists);
    assert_eq!(rejection_code(&fold, &changes[2]), ResultCode::ConfigInvalid);
    let ChangeOutcome::Rejected(error) = outcome_of(&fold, &changes[2]) else { unreachable!() };
    assert_eq!(error.path, "teams.t.services[0]");
    assert_eq!(fold.state().services.len(), 1);
    assert_eq!(fold.revision(), Some(LogOffset(0)));
}

#[test]
fn repeated_id() {
    let first = sample_change(1, None, vec![create_service("a", 1)]);
    let other = sample_change(1, Some(0), vec![change_service("a", 2)]);
    let fold = fold_all(&[first.clone(), first.clone(), other.clone()]);
    assert_eq!(fold.revision(), Some(LogOffset(0)));
    assert_eq!(fold.next_offset(), LogOffset(3));
    let known = ChangeStatus::Known(LogOffset(0), ChangeOutcome::Accepted);
    assert_eq!(fold.status_of(&first), known);
    assert_eq!(fold.status_of(&other), ChangeStatus::IdReused);
}

#[test]
fn forgotten_id() {
    let original = sample_change(1, None, vec![create_service("a", 1)]);
    let key = ResourceKey::parse(ResourceKind::Service, "a").unwrap();
    let mut fold = fold_all(std::slice::from_ref(&original));
    fold.apply(LogOffset(1), &sample_change(2, Some(0), vec![ResourceOperation::Delete(key)]));
    for offset in 2..MAX_KNOWN_CHANGES as u64 + 4 {
        let late = sample_change(u128::from(offset) + 10, None, vec![change_service("a", 1)]);
        fold.apply(LogOffset(offset), &late);
    }
    assert_eq!(fold.status_of(&original), ChangeStatus::Unknown);
    assert_eq!(fold.history().count(), MAX_KNOWN_CHANGES);
    let raw = proto::Checkpoint::decode(fold.to_checkpoint().data.as_slice()).unwrap();
    assert!(raw.resources.is_empty(), "the deleted resource is forgotten");
    assert_eq!(fold.history().filter(|known| known.detail.is_some()).count(), MAX_HISTORY_ENTRIES);
    let next = fold.next_offset();
    fold.apply(next, &original);
    assert!(matches!(outcome_of(&fold, &original), ChangeOutcome::Conflict(_)));
    let base = fold.revision().map(|offset| offset.0);
    let fresh = sample_change(2, base, vec![create_service("a", 3)]);
    let next = fold.next_offset();
    fold.apply(next, &fresh);
    assert_eq!(outcome_of(&fold, &fresh), ChangeOutcome::Accepted);
}

#[test]
fn independent_restore() {
    let document = document_json(&[service_json("b", 5)], &[]);
    let restore = sample_change(9, None, vec![ResourceOperation::Restore(document)]);
    let mut existing = fold_all(&[sample_change(1, None, vec![create_service("a", 1)])]);
    let mut fresh = ConfigFold::starting_at(LogOffset(1));
    existing.apply(LogOffset(1), &restore);
    fresh.apply(LogOffset(1), &restore);
    assert_eq!(existing, fresh);
    assert_eq!(existing.revision(), Some(LogOffset(1)));
    let late = sample_change(2, Some(0), vec![create_service("c", 1)]);
    existing.apply(LogOffset(2), &late);
    assert_eq!(outcome_of(&existing, &late), ChangeOutcome::Conflict(Some(LogOffset(1))));
}

/// A random change that uses few names, few ids and often a stale base.
fn any_change() -> impl Strategy<Value = ConfigChange> {
    let base = prop_oneof![Just(None), (0_u64..24).prop_map(Some)];
    let operations = prop::collection::vec(any_operation(), 1..3);
    (0_u128..20, base, operations)
        .prop_map(|(id, base, operations)| sample_change(id, base, operations))
}

fn any_operation() -> impl Strategy<Value = ResourceOperation> {
    let name = prop_oneof![Just("a"), Just("b")];
    // The value 0 breaks the rules of both services and teams.
    (0..9_u32, name, 0..4_u64).prop_map(|(choice, name, value)| {
        let kind = if value % 2 == 0 { ResourceKind::Service } else { ResourceKind::Team };
        let team = team_json(name, u32::try_from(value).unwrap_or_default());
        let team = ResourceBody { kind: ResourceKind::Team, json: team };
        let host = HostId::try_from(name).expect("valid name");
        match choice {
            0 => create_service(name, value),
            1 => change_service(name, value),
            2 => ResourceOperation::Create(team),
            3 => ResourceOperation::Change(team),
            4 => ResourceOperation::Delete(ResourceKey::parse(kind, name).expect("valid name")),
            5 => team_operation(name, "a"),
            6 => ResourceOperation::Drain(host),
            7 => ResourceOperation::Undrain(host),
            _ => {
                let teams = [team_json("b", 1)];
                let document = document_json(&[service_json(name, value)], &teams);
                ResourceOperation::PutWhole(document)
            }
        }
    })
}

/// Random changes, some of which restore the configuration.
fn any_history() -> impl Strategy<Value = Vec<ConfigChange>> {
    let restore = (0_u128..20, 0..3_u64).prop_map(|(id, value)| {
        let document = document_json(&[service_json("b", value)], &[]);
        sample_change(id, None, vec![ResourceOperation::Restore(document)])
    });
    prop::collection::vec(prop_oneof![12 => any_change(), 1 => restore], 1..40)
}

fn naive_outcome(outcome: &ChangeOutcome) -> NaiveOutcome {
    match outcome {
        ChangeOutcome::Accepted => NaiveOutcome::Accepted,
        ChangeOutcome::Conflict(current) => NaiveOutcome::Conflict(current.map(|o| o.0)),
        ChangeOutcome::Rejected(error) => NaiveOutcome::Rejected(error.code),
    }
}

#[test]
fn naive_agreement() {
    let check = |changes: Vec<ConfigChange>| {
        let mut fold = ConfigFold::default();
        let mut naive = NaiveConfig::default();
        for (offset, change) in (0..).zip(&changes) {
            fold.apply(LogOffset(offset), change);
            naive.apply(offset, change);
            let state = ConfigState::from_json(&naive.document()).expect("naive state is valid");
            prop_assert_eq!(fold.state().to_json(), state.to_json());
            prop_assert_eq!(fold.revision().map(|o| o.0), naive.revision());
        }
        let drained: Vec<_> = fold.state().drained.iter().map(ToString::to_string).collect();
        prop_assert_eq!(drained, naive.drained());
        let outcomes: Vec<_> = fold
            .history()
            .map(|known| (known.offset.0, known.id, naive_outcome(&known.outcome)))
            .collect();
        let expected: Vec<_> =
            naive.changes.iter().rev().map(|c| (c.offset, c.id, c.outcome)).collect();
        prop_assert_eq!(outcomes, expected);
        Ok(())
    };
    runner().run(&any_history(), check).unwrap();
}

#[test]
fn resume_from_checkpoint() {
    let check = |(changes, cut): (Vec<ConfigChange>, prop::sample::Index)| {
        let whole = fold_all(&changes);
        let cut = cut.index(changes.len());
        let early = fold_all(&changes[..cut]);
        let mut resumed = ConfigFold::from_checkpoint(&early.to_checkpoint()).unwrap();
        for (offset, change) in (0..).zip(&changes).skip(cut) {
            resumed.apply(LogOffset(offset), change);
        }
        prop_assert_eq!(resumed.digest(), whole.digest());
        prop_assert_eq!(resumed.to_checkpoint().digest, whole.to_checkpoint().digest);
        prop_assert_eq!(resumed, whole);
        Ok(())
    };
    runner().run(&(any_history(), any::<prop::sample::Index>()), check).unwrap();
}
