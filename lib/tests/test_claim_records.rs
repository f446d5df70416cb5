//! Claim records: every field survives a round trip, and malformed records get a result code and
//! are skipped.

use pomelostack_lib::claim_codec::decode_record;
use pomelostack_lib::claim_codec::encode_batch;
use pomelostack_lib::claim_codec::entry_bytes;
use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_record::BatchKnowledge;
use pomelostack_lib::claim_record::ClaimBatch;
use pomelostack_lib::claim_record::ClaimEntry;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::ClaimNonce;
use pomelostack_lib::claim_record::ClaimRecord;
use pomelostack_lib::claim_record::ClaimStatement;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::claim_record::WholeAnswer;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::log_service::MAX_RECORD_BYTES;
use pomelostack_lib::result_code::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

fn claimant() -> Claimant {
    Claimant {
        host: HostId::try_from("entry-1").expect("a valid name"),
        incarnation: Incarnation(3),
    }
}

fn whole_answer() -> StoredAnswer {
    StoredAnswer::Whole(WholeAnswer {
        status: 201,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: b"confirmed".to_vec(),
    })
}

fn batch(statements: Vec<ClaimStatement>) -> ClaimBatch {
    let entry = |(nonce, statement)| ClaimEntry {
        key: ClaimKey([7; 16]),
        nonce: ClaimNonce(nonce),
        statement,
    };
    ClaimBatch {
        claimant: claimant(),
        sequence: 9,
        retention_ms: 600_000,
        checked_ms: 1_700_000_000_000,
        entries: (1..).zip(statements).map(entry).collect(),
        knowledge: Some(BatchKnowledge {
            folded: LogOffset(12),
            bound_ms: 600_000,
            horizon_ms: 1_700_000_600_000,
        }),
    }
}

#[test]
fn round_trip() {
    let sent = batch(vec![
        ClaimStatement::Claim { fingerprint: RequestFingerprint(5), basis: LogOffset(11) },
        ClaimStatement::Void,
        ClaimStatement::Completion(whole_answer()),
        ClaimStatement::Completion(StoredAnswer::Failed(ResultCode::ServerLost)),
        ClaimStatement::Completion(StoredAnswer::Reference(RequestId { origin: 4, sequence: 2 })),
    ]);
    let data = encode_batch(&sent);
    assert_eq!(decode_record(&data), Ok(ClaimRecord::Batch(sent.clone())));
    let entries: usize = sent.entries.iter().map(entry_bytes).sum();
    assert!(data.len() <= entries + 1_024);
}

#[rstest]
#[case::version(vec![0x08, 0x02], ResultCode::RecordVersion)]
#[case::no_version(vec![], ResultCode::RecordVersion)]
#[case::no_host(vec![0x08, 0x01], ResultCode::RecordMalformed)]
#[case::not_protobuf(vec![0xff; 8], ResultCode::RecordMalformed)]
#[case::too_large(vec![0; MAX_RECORD_BYTES + 1], ResultCode::RecordTooLarge)]
fn bad_record(#[case] data: Vec<u8>, #[case] code: ResultCode) {
    assert_eq!(decode_record(&data).unwrap_err().code(), code);
    let mut reader = ClaimReader::new(claimant());
    let record = LogRecord { offset: LogOffset(0), appended_ms: 1, data };
    reader.on_slice(&LogSlice {
        first: LogOffset(0),
        end: LogOffset(1),
        now_ms: 1,
        records: vec![record],
    });
    assert_eq!(reader.bad_records().total(), 1);
    assert!(reader.is_caught_up());
}

#[test]
fn truncated_record() {
    let whole = encode_batch(&batch(vec![ClaimStatement::Completion(whole_answer())]));
    for length in 0..whole.len() {
        let error = decode_record(&whole[..length]).unwrap_err();
        assert!(matches!(error.code().number(), 600 | 601), "{length} {error}");
    }
}

#[test]
fn scopes_differ() {
    let key = |team: &str, service: &str, text: &str| {
        let team = TeamName::try_from(team).unwrap();
        ClaimKey::of(&team, &ServiceName::try_from(service).unwrap(), text)
    };
    assert_eq!(key("a", "b", "c"), key("a", "b", "c"));
    assert_ne!(key("a", "b", "c"), key("ab", "c", ""));
    assert_ne!(key("a", "b", "c"), key("a", "bc", ""));
    let body = RequestFingerprint::of("POST", "/alerts", b"gust");
    assert_ne!(body, RequestFingerprint::of("POST", "/alerts", b"calm"));
    assert_ne!(body, RequestFingerprint::of("POST", "/alert", b"sgust"));
}

#[test]
fn decodes_garbage() {
    let cases = std::env::var("POMELOSTACK_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(2_000), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let valid = encode_batch(&batch(vec![ClaimStatement::Completion(whole_answer())]));
    let changes = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8);
    let noise = proptest::collection::vec(any::<u8>(), 0..96);
    let checked = TestRunner::new_with_rng(config, rng).run(&(changes, noise), |input| {
        let (changes, noise) = input;
        let mut changed = valid.clone();
        for (index, byte) in changes {
            let place = index.index(changed.len());
            changed[place] = byte;
        }
        for data in [changed, noise] {
            if let Err(error) = decode_record(&data) {
                prop_assert!((600..=602).contains(&error.code().number()));
            }
        }
        Ok(())
    });
    checked.unwrap();
}
