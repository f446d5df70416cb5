//! Event queue of the claim harness, ordered by virtual time.

use std::collections::BTreeMap;

use pomelostack_lib::claim_outcome::ClaimToken;
use pomelostack_lib::claim_queue::AppendFailure;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogSlice;

/// Permission to run a request: a claim token, or `None` if the broken rule decided from memory.
pub type Permit = Option<ClaimToken>;

/// Events of the harness. The first field of an event that needs a host is the host's index.
pub enum SimEvent {
    /// A caller sends a request.
    Send(usize),
    /// A host's timer fires.
    Wake(usize),
    /// A read reaches the log.
    ReadArrives(usize),
    /// A read returns.
    ReadReply(usize, Result<LogSlice, LogError>),
    /// An append reaches the log.
    AppendArrives(usize, Vec<u8>),
    /// An append returns.
    AppendReply(usize, Result<(), AppendFailure>),
    /// A delayed append takes effect.
    DelayedAppend(Vec<u8>),
    /// A host is about to send a request to a backend server.
    Dispatch(usize, usize, Permit),
    /// A backend server answers, or `None` if it is lost.
    Served(usize, usize, Permit, Option<StoredAnswer>),
    /// A process dies.
    Kill(usize),
    /// A new process starts.
    Restart(usize),
}

/// An event, and the incarnation of the host that it needs.
pub struct ScheduledEvent {
    /// Incarnation of the host when the event was scheduled; `None` if the event needs no host.
    pub incarnation: Option<Incarnation>,
    /// The event.
    pub event: SimEvent,
}

/// Events ordered by time in microseconds, then by the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    events: BTreeMap<(u64, u64), ScheduledEvent>,
    order: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(&mut self, at_us: u64, scheduled: ScheduledEvent) {
        self.order += 1;
        self.events.insert((at_us, self.order), scheduled);
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(u64, ScheduledEvent)> {
        self.events.pop_first().map(|((at_us, _), scheduled)| (at_us, scheduled))
    }
}

/// Returns the host whose process the event needs.
pub fn event_host(event: &SimEvent) -> Option<usize> {
    match event {
        SimEvent::Wake(host)
        | SimEvent::ReadReply(host, _)
        | SimEvent::AppendReply(host, _)
        | SimEvent::Dispatch(host, ..)
        | SimEvent::Served(host, ..) => Some(*host),
        SimEvent::Send(_)
        | SimEvent::ReadArrives(_)
        | SimEvent::AppendArrives(..)
        | SimEvent::DelayedAppend(_)
        | SimEvent::Kill(_)
        | SimEvent::Restart(_) => None,
    }
}
