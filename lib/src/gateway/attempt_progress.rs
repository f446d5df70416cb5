//! How far an attempt at a server has come, shared between the attempt and those that decide about it.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// When the stages of an attempt were reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptStages {
    /// When it was handed to a connection.
    pub sent_at: Option<Timestamp>,
    /// When the head of a stream arrived: its server has begun to run it.
    pub head_at: Option<Timestamp>,
    /// When the first event of a stream arrived.
    pub event_at: Option<Timestamp>,
    /// Whether a connection or a peer was tried; otherwise none is expected to reach the server.
    pub is_tried: bool,
    /// Whether a peer carries it, since this host's connections to the server fail.
    pub is_forwarded: bool,
}

impl AttemptStages {
    /// Returns for how long this attempt and another one have both begun, which is zero unless both have.
    pub fn overlap(&self, other: &Self, now: Timestamp) -> Duration {
        let later = self.head_at.zip(other.head_at).map(|(head, other)| head.max(other));
        later.map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// The stages of one attempt. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct AttemptProgress(Rc<Cell<AttemptStages>>);

impl AttemptProgress {
    /// Returns the stages so far.
    pub fn stages(&self) -> AttemptStages {
        self.0.get()
    }

    /// Records that the attempt was handed to a connection.
    pub fn on_sent(&self, now: Timestamp) {
        self.0.set(AttemptStages { sent_at: Some(now), ..self.0.get() });
    }

    /// Records that the attempt is sent over a peer.
    pub fn on_forwarded(&self) {
        self.0.set(AttemptStages { is_forwarded: true, is_tried: true, ..self.0.get() });
    }

    /// Records that a connection to the server is used or opened.
    pub fn on_tried(&self) {
        self.0.set(AttemptStages { is_tried: true, ..self.0.get() });
    }

    /// Records that the head of a stream arrived.
    pub fn on_head(&self, now: Timestamp) {
        self.0.set(AttemptStages { head_at: Some(now), ..self.0.get() });
    }

    /// Records that an event of a stream arrived; returns whether it is the first one.
    pub fn on_event(&self, now: Timestamp) -> bool {
        let stages = self.0.get();
        self.0.set(AttemptStages { event_at: stages.event_at.or(Some(now)), ..stages });
        stages.event_at.is_none()
    }
}

/// Displays the milliseconds from one stage to another, or `-` if one of them was not reached.
pub struct StageGap(pub Option<Timestamp>, pub Option<Timestamp>);

impl fmt::Display for StageGap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.zip(self.1) {
            Some((from, to)) => write!(formatter, "{}", to.since(from).as_millis()),
            None => formatter.write_str("-"),
        }
    }
}
