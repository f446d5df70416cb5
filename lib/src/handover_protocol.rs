//! State machines of a handover, which decide which host continues a request even if either host
//! fails at any time.
//!
//! The sender is the draining host, the receiver is the peer. An offer transfers the request unless
//! the receiver refuses it. Once it has sent an offer, the sender relays nothing past the offered
//! offset and dispatches nothing, so the offer contains all that its caller has seen.
//!
//! The receiver continues a repeatable request when the sender confirms that it has stopped, when
//! the sender is gone, or after [`CONFIRM_TIMEOUT`]; both may run it for a moment without harm.
//! Work that was not dispatched starts at once, because the sender gave up the right to dispatch it
//! with the offer. A non-repeatable call in flight is never sent again: the receiver waits for its
//! result or reports UNKNOWN.

use std::time::Duration;

use crate::handover::HandoverPhase;
use crate::timestamp::Timestamp;

/// Time after which an unanswered offer is sent again to the same peer.
pub const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a receiver waits for the sender to confirm that it has stopped.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Input of the sender's state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderEvent {
    /// The host is draining: start the handover.
    Leave,
    /// The receiver acknowledged the offer.
    Acked,
    /// The receiver refused the offer: it has not taken the request and never will.
    Refused,
    /// The request's session on this host ended.
    SessionEnded,
    /// The timer may be due.
    Timer,
}

/// Action that the sender must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Stop relaying and dispatching, and buffer what arrives.
    Pause,
    /// Send the offer.
    SendOffer,
    /// Stop the attempt and close the caller's connection. The caller reconnects with the request's
    /// id.
    StopSession,
    /// Confirm to the receiver that the attempt has stopped.
    SendConfirm,
    /// Relay what was buffered and continue.
    Resume,
    /// Forward the final answer to the receiver.
    SendResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SenderState {
    Running,
    Offered {
        again_at: Timestamp,
    },
    Waiting,
    /// The receiver refused, and the request stays on this host.
    Refused,
    Done,
}

/// State machine of the sender for one request and one receiver. An offer to another peer after a
/// refusal needs a new one.
#[derive(Clone, Debug)]
pub struct SenderProtocol {
    phase: HandoverPhase,
    state: SenderState,
}

impl SenderProtocol {
    /// Builds the state machine of a request that still runs on this host.
    pub fn new(phase: HandoverPhase) -> Self {
        Self { phase, state: SenderState::Running }
    }

    /// Returns whether the sender may relay or dispatch.
    pub fn may_act(&self) -> bool {
        matches!(self.state, SenderState::Running | SenderState::Refused)
    }

    /// Returns whether the handover has ended.
    pub fn is_done(&self) -> bool {
        self.state == SenderState::Done
    }

    /// Returns when [`SenderEvent::Timer`] is due, if it is set.
    pub fn next_timer(&self) -> Option<Timestamp> {
        match self.state {
            SenderState::Offered { again_at } => Some(again_at),
            _ => None,
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn on_event(&mut self, now: Timestamp, event: SenderEvent) -> Vec<SenderAction> {
        let offered = matches!(self.state, SenderState::Offered { .. });
        match event {
            SenderEvent::Leave if self.state == SenderState::Running => {
                self.state = SenderState::Offered { again_at: now + OFFER_INTERVAL };
                vec![SenderAction::Pause, SenderAction::SendOffer]
            }
            SenderEvent::Timer if self.next_timer().is_some_and(|at| now >= at) => {
                self.state = SenderState::Offered { again_at: now + OFFER_INTERVAL };
                vec![SenderAction::SendOffer]
            }
            SenderEvent::Acked if offered => self.on_ack(),
            SenderEvent::Refused if offered => {
                self.state = SenderState::Refused;
                vec![SenderAction::Resume]
            }
            SenderEvent::SessionEnded => self.on_session_end(),
            _ => Vec::new(),
        }
    }

    fn on_ack(&mut self) -> Vec<SenderAction> {
        if self.phase == HandoverPhase::InFlight {
            self.state = SenderState::Waiting;
            return Vec::new();
        }
        self.state = SenderState::Done;
        vec![SenderAction::StopSession, SenderAction::SendConfirm]
    }

    /// Only a call in flight continues on this host after its offer. Its answer is forwarded to the
    /// receiver.
    fn on_session_end(&mut self) -> Vec<SenderAction> {
        let was_running = self.may_act();
        let in_flight = self.phase == HandoverPhase::InFlight;
        if self.state == SenderState::Done || (!was_running && !in_flight) {
            return Vec::new();
        }
        self.state = SenderState::Done;
        if was_running { Vec::new() } else { vec![SenderAction::SendResult] }
    }
}

/// Input of the receiver's state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverEvent {
    /// An offer arrived, possibly a duplicate.
    Offered {
        /// Whether this host has capacity for the request.
        has_capacity: bool,
    },
    /// The sender confirmed that it has stopped.
    Confirmed,
    /// The sender forwarded the final answer.
    ResultArrived,
    /// The sender has left or failed.
    SenderGone,
    /// The timer may be due.
    Timer,
}

/// Action that the receiver must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverAction {
    /// Refuse the offer: this host has not taken the request and never will.
    Refuse,
    /// Store the offered tokens so that callers can read them, and acknowledge the offer.
    StoreAndAck,
    /// Continue the request from the offered offset.
    StartSession,
    /// Store the final answer that the sender forwarded.
    StoreResult,
    /// End the request as UNKNOWN, because no result arrived before the sender was gone or the
    /// deadline passed.
    FinishUnknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceiverState {
    New,
    Refused,
    Waiting { until: Option<Timestamp> },
    Done,
}

/// State machine of the receiver for one request.
#[derive(Clone, Debug)]
pub struct ReceiverProtocol {
    phase: HandoverPhase,
    deadline: Timestamp,
    state: ReceiverState,
}

impl ReceiverProtocol {
    /// Builds the state machine of a request with the given phase and deadline.
    pub fn new(phase: HandoverPhase, deadline: Timestamp) -> Self {
        Self { phase, deadline, state: ReceiverState::New }
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns when [`ReceiverEvent::Timer`] is due, if it is set.
    pub fn next_timer(&self) -> Option<Timestamp> {
        match self.state {
            ReceiverState::Waiting { until } => Some(until.unwrap_or(self.deadline)),
            _ => None,
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn on_event(&mut self, now: Timestamp, event: ReceiverEvent) -> Vec<ReceiverAction> {
        match (self.state, event) {
            (ReceiverState::New, ReceiverEvent::Offered { has_capacity: true }) => {
                self.on_first_offer(now)
            }
            (ReceiverState::New | ReceiverState::Refused, ReceiverEvent::Offered { .. }) => {
                self.state = ReceiverState::Refused;
                vec![ReceiverAction::Refuse]
            }
            (
                ReceiverState::Waiting { .. } | ReceiverState::Done,
                ReceiverEvent::Offered { .. },
            ) => {
                vec![ReceiverAction::StoreAndAck]
            }
            (ReceiverState::Waiting { .. }, ReceiverEvent::ResultArrived) => {
                self.state = ReceiverState::Done;
                vec![ReceiverAction::StoreResult]
            }
            (ReceiverState::Waiting { .. }, ReceiverEvent::SenderGone) => self.stop_waiting(),
            (ReceiverState::Waiting { .. }, ReceiverEvent::Confirmed)
                if self.phase != HandoverPhase::InFlight =>
            {
                self.stop_waiting()
            }
            (ReceiverState::Waiting { .. }, ReceiverEvent::Timer)
                if self.next_timer().is_some_and(|at| now >= at) =>
            {
                self.stop_waiting()
            }
            _ => Vec::new(),
        }
    }

    fn on_first_offer(&mut self, now: Timestamp) -> Vec<ReceiverAction> {
        let until = match self.phase {
            HandoverPhase::NotDispatched => {
                self.state = ReceiverState::Done;
                return vec![ReceiverAction::StoreAndAck, ReceiverAction::StartSession];
            }
            HandoverPhase::Repeatable => Some(now + CONFIRM_TIMEOUT),
            HandoverPhase::InFlight => None,
        };
        self.state = ReceiverState::Waiting { until };
        vec![ReceiverAction::StoreAndAck]
    }

    fn stop_waiting(&mut self) -> Vec<ReceiverAction> {
        self.state = ReceiverState::Done;
        match self.phase {
            HandoverPhase::InFlight => vec![ReceiverAction::FinishUnknown],
            HandoverPhase::NotDispatched | HandoverPhase::Repeatable => {
                vec![ReceiverAction::StartSession]
            }
        }
    }
}
