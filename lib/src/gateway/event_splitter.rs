//! Cuts a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event; only whole events are relayed, so that another
//! server can go on after the last of them.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of one event, at most; a longer one ends the attempt.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field that carries an event's number.
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
}

/// An event that is longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Result of reading events.
pub type Result<T> = std::result::Result<T, EventTooLong>;

/// Bytes that do not make a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes in received bytes and returns the events that they complete.
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

    /// Returns whether bytes of an unfinished event are left.
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
