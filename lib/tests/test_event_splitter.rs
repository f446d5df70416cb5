//! Splitting a stream into complete events, whatever the chunk boundaries.

use pomelostack_lib::gateway::buffer_budget::BufferBudget;
use pomelostack_lib::gateway::event_splitter::EventError;
use pomelostack_lib::gateway::event_splitter::EventSplitter;
use pomelostack_lib::gateway::event_splitter::Result;
use pomelostack_lib::gateway::event_splitter::StreamEvent;
use proptest::prelude::*;

const BUDGET_BYTES: usize = 64 << 20;

/// Largest event in bytes.
const EVENT_BYTES: usize = 1 << 20;

fn new_splitter() -> EventSplitter {
    EventSplitter::new(&BufferBudget::new(BUDGET_BYTES))
}

fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Result<Vec<StreamEvent>> {
    splitter.push(bytes)?;
    std::iter::from_fn(|| splitter.next_event().transpose()).collect()
}

#[test]
fn partial_event_buffered() {
    let mut splitter = new_splitter();
    assert!(push(&mut splitter, b"id: 7\ndata: a").expect("valid in tests").is_empty());
    assert!(splitter.has_partial_event());
    let events = push(&mut splitter, b"b\n\nid: 8\n").expect("valid in tests");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(&events[0].bytes[..], b"id: 7\ndata: ab\n\n");
}

#[test]
fn event_without_id() {
    let mut splitter = new_splitter();
    let events = push(&mut splitter, b"data: a\n\n").expect("valid in tests");
    assert_eq!(events[0].id, None);
}

#[test]
fn oversized_event() {
    let mut splitter = new_splitter();
    assert_eq!(push(&mut splitter, &vec![b'a'; 2 << 20]), Err(EventError::TooLong));
}

#[test]
fn piecewise_event() {
    let mut splitter = new_splitter();
    for _ in 0..EVENT_BYTES - 1 {
        assert_eq!(push(&mut splitter, b"a"), Ok(Vec::new()));
    }
    assert_eq!(push(&mut splitter, b"\n"), Ok(Vec::new()));
    let events = push(&mut splitter, b"\n").expect("valid in tests");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].bytes.len(), EVENT_BYTES + 1);
}

#[test]
fn lease_of_events() {
    let budget = BufferBudget::new(BUDGET_BYTES);
    let mut splitter = EventSplitter::new(&budget);
    let events = push(&mut splitter, &b"data: a\n\n".repeat(4096)).expect("valid in tests");
    assert_eq!(budget.used(), 9 * 4096);
    drop(events);
    assert_eq!(budget.used(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_chunk_boundaries(count in 1_u64..20, cuts in prop::collection::vec(1_usize..40, 1..40)) {
        let whole: Vec<u8> = (0..count)
            .flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes())
            .collect();
        let mut splitter = new_splitter();
        let mut events = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts.iter().cycle() {
            let (chunk, later) = rest.split_at((*cut).min(rest.len()));
            events.extend(push(&mut splitter, chunk).expect("valid in tests"));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(ids, (0..count).collect::<Vec<_>>());
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined, whole);
        prop_assert!(!splitter.has_partial_event());
    }

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = new_splitter();
        let events = push(&mut splitter, &bytes).expect("valid in tests");
        let relayed: usize = events.iter().map(|event| event.bytes.len()).sum();
        prop_assert!(relayed <= bytes.len());
    }
}
