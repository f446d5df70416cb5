//! Naive versions of idempotency: a fold that replays the whole history on every read, and
//! deduplication in the memory of one host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use pomelostack_lib::claim_record::ClaimBatch;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::ClaimNonce;
use pomelostack_lib::claim_record::ClaimStatement;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_record::MAX_CLAIM_AGE_MS;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::ids::LogOffset;

/// State of a key in the naive fold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NaiveState {
    /// Claim in force: process, nonce, offset.
    pub holder: Option<(Claimant, ClaimNonce, LogOffset)>,
    /// Answer of the claimed request.
    pub answer: Option<StoredAnswer>,
    /// Offset of the last void that released a claim or found none in force.
    pub last_void: Option<LogOffset>,
    expires_ms: u64,
}

/// Keeps every batch and replays all of them to compute the state of a key.
#[derive(Clone, Debug, Default)]
pub struct NaiveClaims {
    history: Vec<(LogOffset, u64, ClaimBatch)>,
}

impl NaiveClaims {
    /// Adds a batch with its offset and append time in milliseconds.
    pub fn push(&mut self, offset: LogOffset, appended_ms: u64, batch: ClaimBatch) {
        self.history.push((offset, appended_ms, batch));
    }

    /// Returns the state of a key after the whole history.
    pub fn state(&self, key: ClaimKey) -> NaiveState {
        let mut state = NaiveState::default();
        let mut clock_ms = 0;
        for (offset, appended_ms, batch) in &self.history {
            clock_ms = clock_ms.max(*appended_ms);
            if state.expires_ms <= clock_ms {
                state = NaiveState::default();
            }
            for entry in batch.entries.iter().filter(|entry| entry.key == key) {
                step(&mut state, *offset, clock_ms, batch, entry.nonce, &entry.statement);
            }
        }
        state
    }

    /// Returns every key in the history.
    pub fn keys(&self) -> BTreeSet<ClaimKey> {
        self.history.iter().flat_map(|(_, _, batch)| &batch.entries).map(|e| e.key).collect()
    }
}

fn step(
    state: &mut NaiveState,
    offset: LogOffset,
    clock_ms: u64,
    batch: &ClaimBatch,
    nonce: ClaimNonce,
    statement: &ClaimStatement,
) {
    let own = matches!(&state.holder, Some((c, n, _)) if *c == batch.claimant && *n == nonce);
    let effective = match statement {
        ClaimStatement::Claim { basis, .. } => {
            state.holder.is_none()
                && state.last_void.is_none_or(|last_void| last_void < *basis)
                && clock_ms <= batch.checked_ms + MAX_CLAIM_AGE_MS
        }
        ClaimStatement::Void => state.holder.is_none() || (own && state.answer.is_none()),
        ClaimStatement::Completion(_) => own && state.answer.is_none(),
    };
    if !effective {
        return;
    }
    match statement {
        ClaimStatement::Claim { .. } => {
            state.holder = Some((batch.claimant.clone(), nonce, offset));
        }
        ClaimStatement::Void => {
            state.holder = None;
            state.last_void = Some(offset);
        }
        ClaimStatement::Completion(answer) => state.answer = Some(answer.clone()),
    }
    state.expires_ms = state.expires_ms.max(clock_ms + batch.retention_ms);
}

/// Deduplication in the memory of one host, without the log.
#[derive(Clone, Debug, Default)]
pub struct MemoryOnly {
    seen: BTreeMap<ClaimKey, Option<StoredAnswer>>,
}

/// State of a key in the memory of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryOutcome {
    /// This host has not seen the key.
    Run,
    /// This host is running its request.
    Running,
    /// This host ran its request.
    Answered(StoredAnswer),
}

impl MemoryOnly {
    /// Claims a key.
    pub fn claim(&mut self, key: ClaimKey) -> MemoryOutcome {
        match self.seen.get(&key) {
            Some(Some(answer)) => MemoryOutcome::Answered(answer.clone()),
            Some(None) => MemoryOutcome::Running,
            None => {
                self.seen.insert(key, None);
                MemoryOutcome::Run
            }
        }
    }

    /// Records an answer.
    pub fn complete(&mut self, key: ClaimKey, answer: StoredAnswer) {
        self.seen.insert(key, Some(answer));
    }
}
