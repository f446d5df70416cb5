//! The answer store: reads from an offset, waiting readers, bounds and eviction.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pomelostack_lib::answer_store::AnswerStore;
use pomelostack_lib::answer_table::AnswerError;
use pomelostack_lib::answer_table::AnswerLimits;
use pomelostack_lib::answer_table::AnswerState;
use pomelostack_lib::answer_table::AnswerTable;
use pomelostack_lib::answer_table::ENTRY_OVERHEAD_BYTES;
use pomelostack_lib::answer_table::RESERVED_TOKEN_BYTES;
use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::session_request::TokenUsage;
use pomelostack_lib::timestamp::ProcessClock;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIMITS: AnswerLimits =
    AnswerLimits { max_entries: 4, max_bytes: 1 << 20, retention: Duration::from_secs(60) };

fn id(sequence: u64) -> RequestId {
    RequestId { origin: 1, sequence }
}

fn chunk(offset: u32) -> TokenChunk {
    TokenChunk { offset, text: format!("token{offset} ") }
}

fn done() -> SessionEnd {
    let usage = TokenUsage::default();
    SessionEnd::ModelDone { finish_reason: FinishReason::Stop, usage }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[rstest]
#[case::all(0, 5)]
#[case::rest(3, 2)]
#[case::end(5, 0)]
#[case::past_end(9, 0)]
fn read_offset(#[case] offset: u32, #[case] count: usize) {
    let mut table = AnswerTable::new(LIMITS);
    table.begin(at(0), id(1), 10).unwrap();
    (0..5).for_each(|n| table.push(at(0), id(1), &chunk(n)));
    let part = table.read_from(at(1), id(1), offset).unwrap();
    let expected: Vec<TokenChunk> = (0..5).map(chunk).skip(offset as usize).collect();
    assert_eq!(part.chunks, expected);
    assert_eq!(part.chunks.len(), count);
    assert_eq!(part.state, AnswerState::Running);
}

#[test]
fn out_of_order() {
    let mut table = AnswerTable::new(LIMITS);
    table.begin(at(0), id(1), 10).unwrap();
    for offset in [1, 0, 0, 2, 1] {
        table.push(at(0), id(1), &chunk(offset));
    }
    assert_eq!(table.read_from(at(0), id(1), 0).unwrap().chunks, [chunk(0), chunk(1)]);
}

#[test]
fn second_end_ignored() {
    let mut table = AnswerTable::new(LIMITS);
    table.begin(at(0), id(1), 10).unwrap();
    table.finish(at(1), id(1), done());
    let code = ResultCode::CallerLost;
    table.finish(at(2), id(1), SessionEnd::Unknown { code, retry_after: None });
    table.push(at(2), id(1), &chunk(0));
    let part = table.read_from(at(2), id(1), 0).unwrap();
    assert_eq!((part.chunks.len(), part.state), (0, AnswerState::Finished(done())));
}

#[test]
fn expired_answer() {
    let mut table = AnswerTable::new(LIMITS);
    table.begin(at(0), id(1), 10).unwrap();
    table.finish(at(5), id(1), done());
    assert!(table.read_from(at(64), id(1), 0).is_some());
    assert!(table.read_from(at(65), id(1), 0).is_none());
    assert_eq!((table.len(), table.bytes()), (0, 0));
}

#[test]
fn eviction_order() {
    let mut table = AnswerTable::new(LIMITS);
    (1..=4).for_each(|n| table.begin(at(0), id(n), 10).unwrap());
    table.finish(at(1), id(3), done());
    table.finish(at(2), id(1), done());
    table.begin(at(3), id(5), 10).unwrap();
    assert!(table.read_from(at(3), id(3), 0).is_none());
    assert!(table.read_from(at(3), id(1), 0).is_some());
}

#[test]
fn full_table() {
    let mut table = AnswerTable::new(LIMITS);
    (1..=4).for_each(|n| table.begin(at(0), id(n), 10).unwrap());
    assert_eq!(table.begin(at(1), id(5), 10), Err(AnswerError::Full));
    assert_eq!(table.begin(at(1), id(1), 10), Err(AnswerError::Exists));
    let small = AnswerLimits { max_bytes: 3 * ENTRY_OVERHEAD_BYTES, ..LIMITS };
    let mut table = AnswerTable::new(small);
    table.begin(at(0), id(1), 20).unwrap();
    let tokens = (2 * ENTRY_OVERHEAD_BYTES / RESERVED_TOKEN_BYTES) as u32;
    assert_eq!(table.begin(at(0), id(2), tokens), Err(AnswerError::Full));
}

/// Bytes stay within the bound under random use as long as answers stay within their reservation.
#[test]
fn byte_bound() {
    let limits = AnswerLimits { max_entries: 40, max_bytes: 20_000, ..LIMITS };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = AnswerTable::new(limits);
    let mut next = [0; 200];
    for step in 0..20_000_u64 {
        let index = rng.random_range(0..next.len());
        let (now, request) = (at(step / 100), id(index as u64));
        match rng.random_range(0..4) {
            0 if table.begin(now, request, 50).is_ok() => next[index] = 0,
            1 => table.finish(now, request, done()),
            _ if next[index] < 50 => {
                let text = "12345678".to_owned();
                table.push(now, request, &TokenChunk { offset: next[index], text });
                next[index] += 1;
            }
            _ => {}
        }
        assert!(table.bytes() <= limits.max_bytes && table.len() <= limits.max_entries);
    }
}

#[test]
fn reader_wakes() {
    let store = Arc::new(AnswerStore::new(ProcessClock::start(), LIMITS));
    store.begin(id(1), 10).unwrap();
    let reader = {
        let store = store.clone();
        thread::spawn(move || {
            let mut read = Vec::new();
            loop {
                let wait = Duration::from_secs(60);
                let part = store.wait_from(id(1), read.len() as u32, wait).unwrap();
                read.extend(part.chunks);
                if part.state != AnswerState::Running {
                    return read;
                }
            }
        })
    };
    (0..10).for_each(|n| store.push(id(1), &chunk(n)));
    store.finish(id(1), done());
    assert_eq!(reader.join().unwrap(), (0..10).map(chunk).collect::<Vec<_>>());
}
