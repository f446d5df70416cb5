//! Running and finished answers by request, bounded in entries and bytes.
//!
//! Eviction: a finished answer goes when its retention ends, or, when a bound is reached, the one
//! that finished first. A running answer is never evicted; when running answers alone reach a
//! bound, no new request is taken.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::session_request::SessionEnd;
use crate::timestamp::Timestamp;

/// Bytes that an entry takes besides its text and token ends: map nodes and fields.
pub const ENTRY_OVERHEAD_BYTES: usize = 400;

/// Bytes that are reserved for each token that a running answer may still get.
pub const RESERVED_TOKEN_BYTES: usize = 12;

/// Bytes of the end offset kept for each token.
const TOKEN_END_BYTES: usize = 4;

/// Why an answer cannot be begun.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AnswerError {
    /// Running answers take all the room.
    #[error("answer store is full of running answers")]
    Full,
    /// The request's answer is kept already.
    #[error("answer of the request exists")]
    Exists,
}

/// Result of beginning an answer.
pub type Result<T> = std::result::Result<T, AnswerError>;

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Entries at most.
    pub max_entries: usize,
    /// Bytes at most.
    pub max_bytes: usize,
    /// Time for which a finished answer is kept.
    pub retention: Duration,
}

/// Whether more of an answer will come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// The request runs.
    Running,
    /// The request has ended.
    Finished(SessionEnd),
}

/// Part of an answer from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerPart {
    /// Tokens in order.
    pub chunks: Vec<TokenChunk>,
    /// Whether more will come.
    pub state: AnswerState,
}

#[derive(Debug)]
struct AnswerEntry {
    text: String,
    /// Byte offset in `text` after each token.
    token_ends: Vec<u32>,
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

/// Answers of one host.
#[derive(Debug)]
pub struct AnswerTable {
    limits: AnswerLimits,
    entries: BTreeMap<RequestId, AnswerEntry>,
    /// Finished answers in the order of their ends; the count makes equal times distinct.
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

    /// Returns whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes accounted for.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes how long answers that finish are kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.limits.retention = retention;
    }

    /// Begins the answer of a request that may produce `max_tokens` tokens.
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

    /// Appends the next token; one that is not next, or of an unknown or ended request, is ignored.
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

    /// Returns the answer from a token offset on, or `None` if it is not kept.
    pub fn read_from(&mut self, now: Timestamp, id: RequestId, offset: u32) -> Option<AnswerPart> {
        self.expire(now);
        let entry = self.entries.get(&id)?;
        let state = match &entry.end {
            None => AnswerState::Running,
            Some(end) => AnswerState::Finished(end.clone()),
        };
        Some(AnswerPart { chunks: entry.chunks_from(offset), state })
    }

    /// Drops the finished answers whose retention has ended.
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
