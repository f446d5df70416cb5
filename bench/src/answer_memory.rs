//! Compares the resident memory of stored answers with the bytes that the answer table reports.

use std::fs;
use std::time::Duration;

use pomelostack_lib::answer_table::AnswerLimits;
use pomelostack_lib::answer_table::AnswerTable;
use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::session_request::TokenUsage;
use pomelostack_lib::timestamp::Timestamp;
use serde::Serialize;

/// Page size that `/proc/self/statm` counts in.
const PAGE_BYTES: usize = 4_096;
const ENTRY_COUNTS: [usize; 3] = [1_000, 10_000, 40_000];
const TOKENS_PER_ENTRY: [u32; 2] = [30, 300];
const LIMITS: AnswerLimits = AnswerLimits {
    max_entries: usize::MAX,
    max_bytes: usize::MAX,
    retention: Duration::from_secs(120),
};

#[derive(Serialize)]
struct MemoryLine {
    case: &'static str,
    entries: usize,
    tokens: u32,
    resident_bytes_per_entry: usize,
    accounted_bytes_per_entry: usize,
}

/// Fills tables of several sizes and prints one line for each.
pub fn run(_seed: u64) {
    for tokens in TOKENS_PER_ENTRY {
        for entries in ENTRY_COUNTS {
            match serde_json::to_string(&measure(entries, tokens)) {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("answer_memory: {error}"),
            }
        }
    }
}

fn measure(entries: usize, tokens: u32) -> MemoryLine {
    let before = resident_bytes();
    let mut table = AnswerTable::new(LIMITS);
    let now = Timestamp::default();
    for sequence in 0..entries as u64 {
        let id = RequestId { origin: 1, sequence };
        if table.begin(now, id, tokens).is_err() {
            continue;
        }
        for offset in 0..tokens {
            table.push(now, id, &TokenChunk { offset, text: "tokens ".to_owned() });
        }
        let usage = TokenUsage::default();
        table.finish(now, id, SessionEnd::ModelDone { finish_reason: FinishReason::Stop, usage });
    }
    let grown = resident_bytes().saturating_sub(before);
    MemoryLine {
        case: "answer_memory",
        entries,
        tokens,
        resident_bytes_per_entry: grown / entries,
        accounted_bytes_per_entry: table.bytes() / entries,
    }
}

/// Returns the resident memory of the process, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
