//! The claim fold: it agrees with a naive implementation, and after a gap a key that may have been
//! missed does not count as unseen.

use pomelostack_lib::claim_checkpoint::checkpoint_records;
use pomelostack_lib::claim_codec::encode_batch;
use pomelostack_lib::claim_fold::ClaimFold;
use pomelostack_lib::claim_fold::KeyState;
use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_reader::ReadChange;
use pomelostack_lib::claim_record::BatchKnowledge;
use pomelostack_lib::claim_record::ClaimBatch;
use pomelostack_lib::claim_record::ClaimEntry;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::ClaimNonce;
use pomelostack_lib::claim_record::ClaimStatement;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_record::MAX_CLAIM_AGE_MS;
use pomelostack_lib::claim_record::MAX_KEY_RETENTION_MS;
use pomelostack_lib::claim_record::MIN_KEY_RETENTION_MS;
use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::claim_record::WholeAnswer;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogSlice;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use testutils::naive_claims::NaiveClaims;

fn claimant(host: u8) -> Claimant {
    let host = HostId::try_from(format!("entry-{host}")).expect("a valid name");
    Claimant { host, incarnation: Incarnation(1) }
}

fn claim(basis: u64) -> ClaimStatement {
    ClaimStatement::Claim { fingerprint: RequestFingerprint(0), basis: LogOffset(basis) }
}

fn batch(host: u8, checked_ms: u64, entries: Vec<(u8, u64, ClaimStatement)>) -> ClaimBatch {
    let entry = |(key, nonce, statement)| ClaimEntry {
        key: ClaimKey([key; 16]),
        nonce: ClaimNonce(nonce),
        statement,
    };
    ClaimBatch {
        claimant: claimant(host),
        sequence: 0,
        retention_ms: MIN_KEY_RETENTION_MS,
        checked_ms,
        entries: entries.into_iter().map(entry).collect(),
        knowledge: None,
    }
}

fn assert_same(fold: &ClaimFold, naive: &NaiveClaims) {
    for key in naive.keys() {
        let expected = naive.state(key);
        let found = fold.state(key, fold.clock_ms());
        let (holder, answer, last_void) = match found {
            KeyState::Held(holder) => {
                let identity = (holder.claimant.clone(), holder.nonce, holder.offset);
                // A key with a claim in force does not report its last void.
                (Some(identity), holder.answer.as_deref().cloned(), expected.last_void)
            }
            KeyState::Voided(last_void) => (None, None, Some(last_void)),
            KeyState::Unseen => (None, None, None),
            KeyState::Unknown => panic!("unknown without a gap"),
        };
        assert_eq!(
            (holder, answer, last_void),
            (expected.holder, expected.answer, expected.last_void)
        );
    }
}

#[test]
fn agrees_with_naive() {
    let entry = (0..4u8, 1..4u64, 0..6u8, 0..6u64);
    let record = (0..3u8, 0..80_000u64, 0..90_000u64, proptest::collection::vec(entry, 1..4));
    let records = proptest::collection::vec(record, 1..40);
    let cases = std::env::var("POMELOSTACK_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(500), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let checked = TestRunner::new_with_rng(config, rng).run(&records, |records| {
        let mut fold = ClaimFold::new();
        let mut naive = NaiveClaims::default();
        let mut now_ms = 1_000_000;
        for (offset, (host, step_ms, age_ms, entries)) in (0..).zip(records) {
            now_ms += step_ms;
            let entries = entries.into_iter().map(|(key, nonce, kind, back)| {
                let statement = match kind {
                    0..=2 => claim((offset + 1u64).saturating_sub(back)),
                    3..=4 => ClaimStatement::Void,
                    _ => ClaimStatement::Completion(StoredAnswer::Whole(WholeAnswer {
                        status: 200,
                        headers: Vec::new(),
                        body: vec![key],
                    })),
                };
                (key, nonce, statement)
            });
            let batch = batch(host, now_ms - age_ms, entries.collect());
            fold.apply(LogOffset(offset), now_ms, &batch);
            naive.push(LogOffset(offset), now_ms, batch);
            assert_same(&fold, &naive);
        }
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn late_claim_ignored() {
    let mut fold = ClaimFold::new();
    let key = ClaimKey([1; 16]);
    fold.apply(LogOffset(0), 1_000, &batch(0, 1_000, vec![(1, 1, ClaimStatement::Void)]));
    assert_eq!(fold.state(key, 0), KeyState::Voided(LogOffset(0)));
    // The void has expired when a claim from before it is appended.
    let late_ms = 1_000 + MIN_KEY_RETENTION_MS;
    fold.apply(LogOffset(1), late_ms, &batch(1, 1_000, vec![(1, 1, claim(0))]));
    assert_eq!(fold.state(key, 0), KeyState::Unseen);
    let checked_ms = late_ms - MAX_CLAIM_AGE_MS;
    fold.apply(LogOffset(2), late_ms, &batch(1, checked_ms, vec![(1, 2, claim(2))]));
    assert!(matches!(fold.state(key, 0), KeyState::Held(_)));
}

#[test]
fn void_blocks_claims() {
    let mut fold = ClaimFold::new();
    let key = ClaimKey([1; 16]);
    fold.apply(LogOffset(0), 1, &batch(0, 1, vec![(1, 1, claim(0))]));
    fold.apply(LogOffset(1), 1, &batch(0, 1, vec![(1, 1, ClaimStatement::Void)]));
    // A claim accepted before the void was read is invalid; a later resend may run.
    fold.apply(LogOffset(2), 1, &batch(1, 1, vec![(1, 7, claim(1))]));
    assert_eq!(fold.state(key, 0), KeyState::Voided(LogOffset(1)));
    fold.apply(LogOffset(3), 1, &batch(2, 1, vec![(1, 8, claim(2))]));
    assert!(matches!(fold.state(key, 0), KeyState::Held(holder) if holder.nonce == ClaimNonce(8)));
}

/// A stream of claims, one key each, as the log would return it.
struct TestStream {
    records: Vec<LogRecord>,
}

impl TestStream {
    fn of_keys(keys: u8) -> Self {
        let mut stream = Self { records: Vec::new() };
        for key in 0..keys {
            let batch = batch(0, 1_000, vec![(key, u64::from(key), claim(0))]);
            stream.push(1_000, encode_batch(&batch));
        }
        stream
    }

    fn push(&mut self, appended_ms: u64, data: Vec<u8>) {
        let offset = LogOffset(self.records.len() as u64);
        self.records.push(LogRecord { offset, appended_ms, data });
    }

    fn read(&self, first: u64, from: LogOffset, now_ms: u64) -> LogSlice {
        let end = LogOffset(self.records.len() as u64);
        let records = self.records[from.0 as usize..].to_vec();
        LogSlice { first: LogOffset(first), end, now_ms, records }
    }
}

#[test]
fn unknown_after_gap() {
    let mut stream = TestStream::of_keys(4);
    let mut reader = ClaimReader::new(claimant(9));
    reader.on_expired(LogOffset(2));
    reader.on_slice(&stream.read(2, LogOffset(2), 2_000));
    for key in [0, 2, 9] {
        assert_eq!(reader.state(ClaimKey([key; 16])), KeyState::Unknown);
    }
    assert!(!reader.is_caught_up());
    // The missed records have expired; a key with a record in the meantime stays unknown.
    let trusted_ms = 1_000 + MAX_KEY_RETENTION_MS;
    let seen = batch(0, 1_000, vec![(5, 5, ClaimStatement::Void)]);
    stream.push(trusted_ms - 1, encode_batch(&seen));
    reader.on_slice(&stream.read(2, reader.position(), trusted_ms));
    assert!(reader.is_caught_up());
    assert_eq!(reader.state(ClaimKey([9; 16])), KeyState::Unseen);
    assert_eq!(reader.state(ClaimKey([5; 16])), KeyState::Unknown);
}

/// The knowledge of a writer that had read the missed records ends a gap earlier.
#[test]
fn knowledge_ends_gap() {
    let mut stream = TestStream::of_keys(4);
    let (folded, bound_ms) = (LogOffset(4), MIN_KEY_RETENTION_MS);
    let heartbeat = |folded, horizon_ms| ClaimBatch {
        knowledge: Some(BatchKnowledge { folded, bound_ms, horizon_ms }),
        ..batch(1, 2_000, Vec::new())
    };
    // The writer had missed the same records: the gap stays.
    stream.push(2_000, encode_batch(&heartbeat(LogOffset(1), 0)));
    let mut reader = ClaimReader::new(claimant(9));
    reader.on_expired(LogOffset(2));
    reader.on_slice(&stream.read(2, LogOffset(2), 2_000));
    assert!(!reader.is_trusted());
    stream.push(2_000, encode_batch(&heartbeat(folded, u64::MAX)));
    let trusted_ms = 1_000 + MIN_KEY_RETENTION_MS;
    reader.on_slice(&stream.read(2, reader.position(), trusted_ms - 1));
    assert!(!reader.is_trusted());
    reader.on_slice(&stream.read(2, reader.position(), trusted_ms));
    assert!(reader.is_trusted());
    // All missed keys have expired: the gap ends at once.
    stream.push(2_000, encode_batch(&heartbeat(folded, 1_500)));
    let mut late = ClaimReader::new(claimant(9));
    late.on_expired(LogOffset(6));
    late.on_slice(&stream.read(6, LogOffset(6), 2_000));
    assert!(!late.is_trusted());
    stream.push(2_000, encode_batch(&heartbeat(LogOffset(6), 1_500)));
    late.on_slice(&stream.read(6, late.position(), 2_000));
    assert!(late.is_trusted());
}

#[test]
fn checkpoint_closes_gap() {
    let mut stream = TestStream::of_keys(40);
    let mut whole = ClaimReader::new(claimant(1));
    whole.on_slice(&stream.read(0, LogOffset(0), 2_000));
    for part in checkpoint_records(&claimant(1), whole.fold()).unwrap() {
        stream.push(2_000, part);
    }
    let after = batch(0, 2_000, vec![(3, 3, ClaimStatement::Void), (99, 1, claim(40))]);
    stream.push(2_001, encode_batch(&after));
    whole.on_slice(&stream.read(0, whole.position(), 2_001));

    let mut late = ClaimReader::new(claimant(2));
    late.on_expired(LogOffset(40));
    let change = late.on_slice(&stream.read(40, LogOffset(40), 2_001));
    assert_eq!(change, ReadChange::Everything);
    assert_eq!(late.position(), LogOffset(40));
    late.on_slice(&stream.read(40, late.position(), 2_001));
    assert!(late.is_caught_up());
    assert_eq!(late.fold().digest(), whole.fold().digest());
    assert_eq!(late.state(ClaimKey([3; 16])), KeyState::Voided(LogOffset(41)));
}

#[test]
fn trimmed_checkpoint_ignored() {
    let mut stream = TestStream::of_keys(4);
    let mut whole = ClaimReader::new(claimant(1));
    whole.on_slice(&stream.read(0, LogOffset(0), 2_000));
    let parts = checkpoint_records(&claimant(1), whole.fold()).unwrap();
    stream.push(2_000, encode_batch(&batch(0, 2_000, vec![(8, 8, claim(0))])));
    for part in parts {
        stream.push(2_000, part);
    }
    // The first record after the checkpoint's position has expired.
    let mut late = ClaimReader::new(claimant(2));
    late.on_expired(LogOffset(5));
    late.on_slice(&stream.read(5, LogOffset(5), 2_001));
    assert!(!late.is_caught_up());
    assert_eq!(late.state(ClaimKey([8; 16])), KeyState::Unknown);
}
