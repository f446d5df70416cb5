//! Decoding of configuration records: round trips, rejected versions and sizes, and no panics.

use pomelostack_lib::config_checkpoint::EncodedCheckpoint;
use pomelostack_lib::config_fold::ConfigFold;
use pomelostack_lib::config_record::CheckpointPart;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ConfigRecord;
use pomelostack_lib::config_record::MAX_OPERATIONS;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::config_replica::ConfigReplica;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::log_service::MAX_RECORD_BYTES;
use pomelostack_lib::protos::config as proto;
use pomelostack_lib::record_error::RecordError;
use pomelostack_lib::resource_key::ResourceKey;
use pomelostack_lib::resource_key::ResourceKind;
use pomelostack_lib::result_code::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use prost::Message as _;
use rstest::rstest;
use testutils::config_samples::change_service;
use testutils::config_samples::create_service;
use testutils::config_samples::document_json;
use testutils::config_samples::sample_change;

fn runner() -> TestRunner {
    let config = Config { cases: 2_000, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Returns a change with an operation of every kind except restore.
fn full_change() -> ConfigChange {
    let host = HostId::try_from("host-1").expect("valid name");
    let operations = vec![
        create_service("a", 1),
        change_service("a", 2),
        ResourceOperation::PutWhole(document_json(&[], &[])),
        ResourceOperation::Drain(host.clone()),
        ResourceOperation::Undrain(host),
        ResourceOperation::Delete(
            ResourceKey::parse(ResourceKind::Class, "c").expect("valid name"),
        ),
    ];
    sample_change(u128::MAX - 1, Some(7), operations)
}

fn slice_of(records: Vec<Vec<u8>>) -> LogSlice {
    let records: Vec<LogRecord> = (0..)
        .zip(records)
        .map(|(offset, data)| LogRecord { offset: LogOffset(offset), appended_ms: 0, data })
        .collect();
    let end = LogOffset(records.len() as u64);
    LogSlice { first: LogOffset(0), end, now_ms: 0, records }
}

#[test]
fn round_trips() {
    let restore = ResourceOperation::Restore(document_json(&[], &[]));
    let part = CheckpointPart { digest: [7; 32], index: 1, count: 3, data: vec![1, 2, 3] };
    let records = [
        ConfigRecord::Change(full_change()),
        ConfigRecord::Change(sample_change(0, None, vec![restore])),
        ConfigRecord::CheckpointPart(part),
    ];
    for record in records {
        assert_eq!(ConfigRecord::decode(&record.encode().unwrap()), Ok(record));
    }
}

#[rstest]
#[case::empty(Vec::new(), ResultCode::RecordVersion)]
#[case::garbage(vec![0xff; 9], ResultCode::RecordMalformed)]
#[case::too_large(vec![0; MAX_RECORD_BYTES + 1], ResultCode::RecordTooLarge)]
#[case::next_version(proto::ConfigRecord { version: 2, body: None }.encode_to_vec(), ResultCode::RecordVersion)]
#[case::no_body(proto::ConfigRecord { version: 1, body: None }.encode_to_vec(), ResultCode::RecordMalformed)]
fn rejected_bytes(#[case] data: Vec<u8>, #[case] code: ResultCode) {
    assert_eq!(ConfigRecord::decode(&data).map_err(|error| error.code()), Err(code));
    let mut replica = ConfigReplica::default();
    let change = ConfigRecord::Change(sample_change(1, None, vec![create_service("a", 1)]));
    replica.on_slice(&slice_of(vec![data, change.encode().unwrap()]));
    assert_eq!(replica.skipped().get(&code), Some(&1));
    assert_eq!(replica.fold().revision(), Some(LogOffset(1)));
}

#[rstest]
#[case::no_operations(sample_change(1, None, Vec::new()))]
#[case::many_operations(sample_change(1, None, vec![create_service("a", 1); MAX_OPERATIONS + 1]))]
#[case::long_author({
    let mut change = full_change();
    change.author.operator = "x".repeat(65);
    change
})]
#[case::restore_with_others({
    let mut change = full_change();
    change.operations.push(ResourceOperation::Restore(String::new()));
    change
})]
fn rejected_changes(#[case] change: ConfigChange) {
    let encoded = ConfigRecord::Change(change).encode();
    assert!(matches!(encoded, Err(RecordError::Malformed(_))), "{encoded:?}");
}

#[test]
fn large_change() {
    let document = " ".repeat(MAX_RECORD_BYTES);
    let change = sample_change(1, None, vec![ResourceOperation::PutWhole(document)]);
    let encoded = ConfigRecord::Change(change).encode();
    assert!(matches!(encoded, Err(RecordError::TooLarge(_))));
}

#[test]
fn random_bytes() {
    let check = |data: Vec<u8>| {
        if let Ok(record) = ConfigRecord::decode(&data) {
            let again = record.encode().and_then(|data| ConfigRecord::decode(&data));
            prop_assert_eq!(again, Ok(record));
        }
        let digest = *blake3::hash(&data).as_bytes();
        let fold = ConfigFold::from_checkpoint(&EncodedCheckpoint { digest, data });
        prop_assert!(fold.is_err());
        Ok(())
    };
    runner().run(&prop::collection::vec(any::<u8>(), 0..200), check).unwrap();
}

/// Overwrites some bytes of valid data and truncates it by up to 7 bytes.
fn corrupt(mut data: Vec<u8>, faults: &[(prop::sample::Index, u8)], cut: usize) -> Vec<u8> {
    for (position, value) in faults {
        let position = position.index(data.len());
        data[position] = *value;
    }
    data.truncate(data.len().saturating_sub(cut % 8));
    data
}

#[test]
fn corrupt_records() {
    let record = ConfigRecord::Change(full_change()).encode().unwrap();
    let mut fold = ConfigFold::default();
    fold.apply(LogOffset(0), &sample_change(1, None, vec![create_service("a", 1)]));
    fold.apply(LogOffset(1), &full_change());
    let checkpoint = fold.to_checkpoint().data;
    let faults = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let check = |(faults, cut): (Vec<(prop::sample::Index, u8)>, usize)| {
        let mut replica = ConfigReplica::default();
        replica.on_slice(&slice_of(vec![corrupt(record.clone(), &faults, cut)]));
        prop_assert_eq!(replica.cursor(), LogOffset(1));
        let data = corrupt(checkpoint.clone(), &faults, cut);
        let digest = *blake3::hash(&data).as_bytes();
        if let Ok(fold) = ConfigFold::from_checkpoint(&EncodedCheckpoint { digest, data }) {
            let again = ConfigFold::from_checkpoint(&fold.to_checkpoint());
            prop_assert_eq!(again, Ok(fold));
        }
        Ok(())
    };
    runner().run(&(faults, any::<usize>()), check).unwrap();
}
