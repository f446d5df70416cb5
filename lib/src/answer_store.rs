//! Thread-safe store of one host's answers: sessions write, any number of callers read.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::answer_table::AnswerLimits;
use crate::answer_table::AnswerPart;
use crate::answer_table::AnswerState;
use crate::answer_table::AnswerTable;
use crate::answer_table::Result;
use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::session_request::SessionEnd;
use crate::timestamp::ProcessClock;

/// Running and finished answers, shared between threads.
#[derive(Debug)]
pub struct AnswerStore {
    clock: ProcessClock,
    table: Mutex<AnswerTable>,
    changed: Condvar,
}

impl AnswerStore {
    /// Builds an empty store.
    pub fn new(clock: ProcessClock, limits: AnswerLimits) -> Self {
        Self { clock, table: Mutex::new(AnswerTable::new(limits)), changed: Condvar::new() }
    }

    /// Adds the answer of a request that may produce `max_tokens` tokens.
    pub fn begin(&self, id: RequestId, max_tokens: u32) -> Result<()> {
        self.lock().begin(self.clock.now(), id, max_tokens)
    }

    /// Appends the next token of an answer and wakes waiting readers.
    pub fn push(&self, id: RequestId, chunk: &TokenChunk) {
        self.lock().push(self.clock.now(), id, chunk);
        self.changed.notify_all();
    }

    /// Ends an answer and wakes waiting readers.
    pub fn finish(&self, id: RequestId, end: SessionEnd) {
        self.lock().finish(self.clock.now(), id, end);
        self.changed.notify_all();
    }

    /// Sets how long finished answers are kept.
    pub fn set_retention(&self, retention: Duration) {
        self.lock().set_retention(retention);
    }

    /// Returns the current answer from a token offset on, or `None` if the store does not have it.
    pub fn read_from(&self, id: RequestId, offset: u32) -> Option<AnswerPart> {
        self.lock().read_from(self.clock.now(), id, offset)
    }

    /// Like [`Self::read_from`], but waits up to `wait` for new tokens or the end of the answer.
    pub fn wait_from(&self, id: RequestId, offset: u32, wait: Duration) -> Option<AnswerPart> {
        let wait_until = self.clock.now() + wait;
        let mut table = self.lock();
        loop {
            let now = self.clock.now();
            let part = table.read_from(now, id, offset)?;
            let remaining = wait_until.since(now);
            let has_progress = !part.chunks.is_empty() || part.state != AnswerState::Running;
            if has_progress || remaining.is_zero() {
                return Some(part);
            }
            let waited = self.changed.wait_timeout(table, remaining);
            table = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the number of entries and their bytes, for metrics.
    pub fn usage(&self) -> (usize, usize) {
        let table = self.lock();
        (table.len(), table.bytes())
    }

    fn lock(&self) -> MutexGuard<'_, AnswerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
