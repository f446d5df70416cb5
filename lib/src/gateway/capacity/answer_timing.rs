//! Which part of a streamed answer was late: its first event, a pause, or its relay to the caller.
//!
//! Load pattern: callers count an answer as late for its first event, for a pause between two events, or
//! for an event that the host forwards long after its server sent it. The remedies differ: a larger or
//! other fleet, other places for long prompts, or a host with more processor time.

use std::fmt;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time from reading an event to handing it to the caller's connection after which its relay is late.
const RELAY_LIMIT: Duration = Duration::from_millis(200);

/// Events over which the pause between two events is averaged, since a host reads several at once when
/// its processor was busy.
const AVERAGED_EVENTS: u32 = 8;

/// The part of an answer that was late first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatePart {
    /// Its first event came after the route's latency goal.
    FirstEvent,
    /// Its server paused between two events for longer than the route's goal.
    Pause,
    /// This host took too long to relay an event, or its caller to accept it.
    Relay,
}

impl LatePart {
    /// Returns the part's name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
            Self::Relay => "relay",
        }
    }
}

impl fmt::Display for LatePart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Goals of a route for streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerGoals {
    /// Time to the first event.
    pub first_event: Duration,
    /// Longest pause between two events, if the route limits it.
    pub pause: Option<Duration>,
}

/// A part that was late, and by how much it missed its goal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateAnswer {
    /// The part.
    pub part: LatePart,
    /// Its time.
    pub observed: Duration,
    /// The longest time in which it would not have been late.
    pub goal: Duration,
}

/// Times of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTiming {
    first_event: Option<Duration>,
    last_read_at: Option<Timestamp>,
    longest_pause: Duration,
    longest_relay: Duration,
    /// Begin of the events that are averaged, and how many there were since.
    averaged_from: Option<Timestamp>,
    averaged_events: u32,
}

impl AnswerTiming {
    /// Records that an event was read from a server, for a request that arrived at `arrived_at`.
    /// Returns the mean pause between events once enough of them came.
    pub fn on_event_read(&mut self, now: Timestamp, arrived_at: Timestamp) -> Option<Duration> {
        self.first_event.get_or_insert(now.since(arrived_at));
        if let Some(last) = self.last_read_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        let from = *self.averaged_from.get_or_insert(now);
        if self.averaged_events < AVERAGED_EVENTS {
            self.averaged_events += 1;
            return None;
        }
        (self.averaged_from, self.averaged_events) = (Some(now), 1);
        Some(now.since(from) / AVERAGED_EVENTS)
    }

    /// Records that an event read at `read_at` was handed to the caller's connection. The time that a
    /// caller takes to accept it is no pause of the server.
    pub fn on_event_relayed(&mut self, now: Timestamp, read_at: Timestamp) {
        self.longest_relay = self.longest_relay.max(now.since(read_at));
        self.last_read_at = Some(now);
    }

    /// Returns what was late, if anything was: the first event before a pause before the relay.
    pub fn late_part(&self, goals: AnswerGoals) -> Option<LateAnswer> {
        let late = |part: LatePart, observed: Duration, goal: Duration| {
            (observed > goal).then_some(LateAnswer { part, observed, goal })
        };
        let first_event = self.first_event.unwrap_or_default();
        late(LatePart::FirstEvent, first_event, goals.first_event)
            .or_else(|| late(LatePart::Pause, self.longest_pause, goals.pause?))
            .or_else(|| late(LatePart::Relay, self.longest_relay, RELAY_LIMIT))
    }
}
