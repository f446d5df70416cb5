//! Splits a stream of server-sent events into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are relayed, so that another
//! server can resume the stream after the last of them.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event in bytes; a longer one ends the attempt.
const MAX_EVENT_BYTES: usize = 1 << 20;

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

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Result of reading events.
pub type Result<T> = std::result::Result<T, EventTooLong>;

/// Buffers received bytes until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = event_length(&self.pending) {
            let bytes = self.pending.split_to(length).freeze();
            events.push(StreamEvent { id: event_id(&bytes), bytes });
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
