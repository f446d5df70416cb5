//! Splits a stream of server-sent events into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are relayed, so that another
//! server can resume the stream after the last of them.

use bytes::Bytes;

use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::buffer_budget::BufferError;
use crate::gateway::leased_buffer::LeasedBuffer;

/// Maximum size of an event in bytes; a longer one ends the attempt.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Maximum number of received bytes that were not yet returned as events.
const MAX_PENDING_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field with the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number from the `id` field, if there is one.
    pub id: Option<u64>,
    /// Raw bytes, including the empty line at the end.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether it consists of comments and empty lines.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }
}

/// An event that cannot be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The event exceeds the size limit.
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The buffer cannot grow.
    #[error("event {0}")]
    Buffer(#[from] BufferError),
}

/// Result of reading events.
pub type Result<T> = std::result::Result<T, EventError>;

/// Buffers received bytes until they form complete events.
#[derive(Debug)]
pub struct EventSplitter {
    pending: LeasedBuffer,
    /// Number of pending bytes in which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Builds a splitter whose buffers are leased from `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        let lease = budget.lease(MAX_PENDING_BYTES);
        Self { pending: LeasedBuffer::new(lease), scanned: 0 }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.pending.extend(bytes)?)
    }

    /// Removes and returns the first complete event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>> {
        let pending = self.pending.as_slice();
        // The first byte of the event's end may have been scanned with an earlier piece.
        let start = self.scanned.saturating_sub(EVENT_END.len() - 1);
        let found =
            pending[start..].windows(EVENT_END.len()).position(|window| window == EVENT_END);
        let Some(offset) = found else {
            self.scanned = pending.len();
            return if self.scanned > MAX_EVENT_BYTES {
                Err(EventError::TooLong)
            } else {
                Ok(None)
            };
        };
        let bytes = self.pending.split_to(start + offset + EVENT_END.len())?;
        self.scanned = 0;
        Ok(Some(StreamEvent { id: event_id(&bytes), bytes }))
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.as_slice().is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
