//! Running and finished answers by request, bounded in entries and bytes.
//!
//! Eviction: a finished answer is dropped when its retention ends. When a bound is reached, the
//! answer that finished first is evicted. A running answer is never evicted; when running answers
//! alone reach a bound, new requests are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::session_request::SessionEnd;
use crate::timestamp::Timestamp;

/// Bytes that an entry takes besides its text and token ends: map nodes and fields.
pub const ENTRY_OVERHEAD_BYTES: usize = 400;

/// Bytes reserved for each token that a running answer may produce.
pub const RESERVED_TOKEN_BYTES: usize = 12;

/// Bytes of the end offset stored for each token.
const TOKEN_END_BYTES: usize = 4;

/// Why a new answer cannot be stored.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AnswerError {
    /// Running answers use the whole capacity.
    #[error("answer store is full of running answers")]
    Full,
    /// The table already has an answer for the request.
    #[error("the request already has an answer")]
    Exists,
}

/// Result of adding an answer.
pub type Result<T> = std::result::Result<T, AnswerError>;

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum number of bytes.
    pub max_bytes: usize,
    /// How long a finished answer is kept.
    pub retention: Duration,
}

/// Whether an answer may still grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// The request is in flight.
    Running,
    /// The request has ended.
    Finished(SessionEnd),
}

/// Part of an answer from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerPart {
    /// Tokens in order.
    pub chunks: Vec<TokenChunk>,
    /// Whether more tokens may follow.
    pub state: AnswerState,
}

#[derive(Debug)]
struct AnswerEntry {
    text: String,
    /// End of each token, as a byte offset in `text`.
    token_ends: Vec<u32>,
    /// Bytes accounted for at least, while the answer is running.
    reserved: usize,
    end: Option<SessionEnd>,
}

impl AnswerEntry {
    fn bytes(&self) -> usize {
        let held = self.text.len() + self.token_ends.len() * TOKEN_END_BYTES;
        let body = match &self.end {
            None => held.max(self.reserved),
            Some(SessionEnd::AppDone(answer)) => {
                let headers: usize = answer.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
                held + headers + answer.body.len()
            }
            Some(_) => held,
        };
        ENTRY_OVERHEAD_BYTES + body
    }

    fn chunks_from(&self, offset: u32) -> Vec<TokenChunk> {
        let first = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut chunks = Vec::new();
        for index in first..self.token_ends.len() {
            let start = if index == 0 { 0 } else { self.token_ends[index - 1] as usize };
            let end = self.token_ends[index] as usize;
            let text = self.text.get(start..end).unwrap_or_default().to_owned();
            chunks.push(TokenChunk { offset: index as u32, text });
        }
        chunks
    }
}

/// The answers stored on one host.
#[derive(Debug)]
pub struct AnswerTable {
    limits: AnswerLimits,
    entries: BTreeMap<RequestId, AnswerEntry>,
    /// Finished answers ordered by finish time; the counter separates equal times.
    finished: BTreeMap<(Timestamp, u64), RequestId>,
    finish_count: u64,
    bytes: usize,
}

impl AnswerTable {
    /// Builds an empty table.
    pub fn new(limits: AnswerLimits) -> Self {
        let entries = BTreeMap::new();
        Self { limits, entries, finished: BTreeMap::new(), finish_count: 0, bytes: 0 }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes accounted for.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets how long finished answers are kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.limits.retention = retention;
    }

    /// Adds the answer of a request that may produce `max_tokens` tokens.
    pub fn begin(&mut self, now: Timestamp, id: RequestId, max_tokens: u32) -> Result<()> {
        if self.entries.contains_key(&id) {
            return Err(AnswerError::Exists);
        }
        let reserved = max_tokens as usize * RESERVED_TOKEN_BYTES;
        let entry =
            AnswerEntry { text: String::new(), token_ends: Vec::new(), reserved, end: None };
        let bytes = entry.bytes();
        self.make_room(now, bytes, 1);
        let fits = self.entries.len() < self.limits.max_entries
            && self.bytes + bytes <= self.limits.max_bytes;
        if !fits {
            return Err(AnswerError::Full);
        }
        self.bytes += bytes;
        self.entries.insert(id, entry);
        Ok(())
    }

    /// Appends the next token. Ignores a token out of order and a token of an unknown or finished
    /// request.
    pub fn push(&mut self, now: Timestamp, id: RequestId, chunk: &TokenChunk) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.end.is_some() || entry.token_ends.len() != chunk.offset as usize {
            return;
        }
        let before = entry.bytes();
        entry.text.push_str(&chunk.text);
        entry.token_ends.push(u32::try_from(entry.text.len()).unwrap_or(u32::MAX));
        let grown = entry.bytes() - before;
        self.bytes += grown;
        if grown > 0 {
            self.make_room(now, 0, 0);
        }
    }

    /// Ends an answer; a second end is ignored.
    pub fn finish(&mut self, now: Timestamp, id: RequestId, end: SessionEnd) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.end.is_some() {
            return;
        }
        let before = entry.bytes();
        entry.end = Some(end);
        entry.text.shrink_to_fit();
        entry.token_ends.shrink_to_fit();
        self.bytes = self.bytes + entry.bytes() - before;
        self.finish_count += 1;
        self.finished.insert((now, self.finish_count), id);
        self.make_room(now, 0, 0);
    }

    /// Returns the answer from a token offset on, or `None` if the table does not have it.
    pub fn read_from(&mut self, now: Timestamp, id: RequestId, offset: u32) -> Option<AnswerPart> {
        self.expire(now);
        let entry = self.entries.get(&id)?;
        let state = match &entry.end {
            None => AnswerState::Running,
            Some(end) => AnswerState::Finished(end.clone()),
        };
        Some(AnswerPart { chunks: entry.chunks_from(offset), state })
    }

    /// Evicts finished answers whose retention has ended.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((&(ended, _), _)) = self.finished.first_key_value()
            && now >= ended + self.limits.retention
        {
            self.evict_oldest();
        }
    }

    fn make_room(&mut self, now: Timestamp, bytes: usize, entries: usize) {
        self.expire(now);
        let over = |table: &Self| {
            table.entries.len() + entries > table.limits.max_entries
                || table.bytes + bytes > table.limits.max_bytes
        };
        while over(self) && !self.finished.is_empty() {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.finished.pop_first()
            && let Some(entry) = self.entries.remove(&id)
        {
            self.bytes -= entry.bytes();
        }
    }
}
