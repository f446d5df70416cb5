//! Who goes on with a request while a leaving host hands it to a peer, whichever of them dies when.
//!
//! An offer is a transfer that only a refusal undoes. From the offer on, the leaver relays nothing
//! past the offered offset and dispatches nothing, so what its caller has seen is in the offer.
//! The taker begins when the leaver confirms that it has stopped, when the leaver is gone, or after
//! a short wait: a repeatable request that both run for a moment does no harm. Work that was not
//! dispatched begins at once, as the offer gave up the right to dispatch it. A non-repeatable call
//! in flight is never sent again: the taker waits for its result, or reports UNKNOWN.

use std::time::Duration;

use crate::handover::HandoverPhase;
use crate::timestamp::Timestamp;

/// Time after which an unanswered offer is sent again to the same peer.
pub const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a taker waits for the leaver to confirm that it has stopped.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// What happened to the leaver's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderEvent {
    /// The host leaves: hand the request over.
    Leave,
    /// The taker has the offer.
    Acked,
    /// The taker will not take the request and never has.
    Refused,
    /// The request's own session ended here.
    SessionEnded,
    /// Time passed.
    Timer,
}

/// What the leaver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Stop relaying and dispatching; keep what arrives.
    Pause,
    /// Send the offer.
    SendOffer,
    /// Stop the attempt and end the caller's connection, which comes back with the request's id.
    StopSession,
    /// Tell the taker that the attempt has stopped.
    SendConfirm,
    /// Relay what was kept and go on.
    Resume,
    /// Pass the final answer to the taker.
    SendResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SenderState {
    Running,
    Offered {
        again_at: Timestamp,
    },
    Waiting,
    /// The peer refused: the request stays here.
    Refused,
    Done,
}

/// The leaver's side of one request and one peer; after a refusal another peer is asked with a new
/// one.
#[derive(Clone, Debug)]
pub struct SenderProtocol {
    phase: HandoverPhase,
    state: SenderState,
}

impl SenderProtocol {
    /// Builds the leaver's side.
    pub fn new(phase: HandoverPhase) -> Self {
        Self { phase, state: SenderState::Running }
    }

    /// Returns whether the leaver may relay or dispatch.
    pub fn may_act(&self) -> bool {
        matches!(self.state, SenderState::Running | SenderState::Refused)
    }

    /// Returns whether the handover has ended.
    pub fn is_done(&self) -> bool {
        self.state == SenderState::Done
    }

    /// Returns when [`SenderEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Timestamp> {
        match self.state {
            SenderState::Offered { again_at } => Some(again_at),
            _ => None,
        }
    }

    /// Takes one event and returns what is to be done, in order.
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

    /// Only a call in flight goes on here after its offer; its answer belongs to the taker, too.
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

/// What happened to the taker's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverEvent {
    /// An offer arrived; it may be a repetition.
    Offered {
        /// Whether this host can take the request.
        has_room: bool,
    },
    /// The leaver confirmed that it has stopped.
    Confirmed,
    /// The leaver passed on the final answer.
    ResultArrived,
    /// The leaver is gone.
    SenderGone,
    /// Time passed.
    Timer,
}

/// What the taker has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverAction {
    /// Tell the leaver that this host has not taken the request and never will.
    Refuse,
    /// Keep the offered answer so that callers can read it, and acknowledge.
    StoreAndAck,
    /// Go on with the request from the offered offset.
    StartSession,
    /// Store the final answer that the leaver passed on.
    StoreResult,
    /// End the request as UNKNOWN: the leaver is gone without a result.
    FinishUnknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceiverState {
    New,
    Refused,
    Waiting { until: Option<Timestamp> },
    Done,
}

/// The taker's side of one request.
#[derive(Clone, Debug)]
pub struct ReceiverProtocol {
    phase: HandoverPhase,
    deadline: Timestamp,
    state: ReceiverState,
}

impl ReceiverProtocol {
    /// Builds the taker's side of an offer whose request has the given deadline.
    pub fn new(phase: HandoverPhase, deadline: Timestamp) -> Self {
        Self { phase, deadline, state: ReceiverState::New }
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns when [`ReceiverEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Timestamp> {
        match self.state {
            ReceiverState::Waiting { until } => Some(until.unwrap_or(self.deadline)),
            _ => None,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn on_event(&mut self, now: Timestamp, event: ReceiverEvent) -> Vec<ReceiverAction> {
        match (self.state, event) {
            (ReceiverState::New, ReceiverEvent::Offered { has_room: true }) => {
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
