//! Hands the unfinished requests of a draining entry host over to its peers.
//!
//! Connects [`SenderProtocol`] to the running sessions and the peer link, with one thread per
//! request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use crate::answer_store::AnswerStore;
use crate::answer_table::AnswerState;
use crate::handover::HANDOVER_VERSION;
use crate::handover::HandoverEnd;
use crate::handover::HandoverResult;
use crate::handover::UnfinishedRequest;
use crate::handover_message::HandoverBody;
use crate::handover_message::HandoverMessage;
use crate::handover_protocol::SenderAction;
use crate::handover_protocol::SenderEvent;
use crate::handover_protocol::SenderProtocol;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::peer_client::PeerClient;
use crate::peer_link::TakeOverAnswer;
use crate::session_event::SessionEvent;
use crate::session_registry::DriverMessage;
use crate::session_registry::SessionRegistry;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Timeout for a session to pause and report its state.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the answer of a call in flight is checked.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Dependencies of [`HandoverSender`].
#[derive(Clone)]
pub struct HandoverPorts {
    /// This host.
    pub host: HostId,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Running sessions.
    pub registry: Arc<SessionRegistry>,
    /// Answers of the calls that end on this host.
    pub answers: Arc<AnswerStore>,
    /// Client for calls to peers.
    pub client: PeerClient,
}

/// Hands the requests of this host over to its peers.
pub struct HandoverSender {
    ports: HandoverPorts,
}

impl HandoverSender {
    /// Builds the sender of a host.
    pub fn new(ports: HandoverPorts) -> Self {
        Self { ports }
    }

    /// Hands every running request over to one of the peers. Returns when all handovers have ended
    /// or at `until`. Requests that no peer accepts continue on this host.
    pub fn hand_over_all(&self, peers: &[SocketAddr], until: Timestamp) {
        std::thread::scope(|scope| {
            for (index, id) in self.ports.registry.running().into_iter().enumerate() {
                // Each request starts with another peer, which spreads the load.
                let mut order = peers.to_vec();
                order.rotate_left(index.checked_rem(peers.len()).unwrap_or_default());
                scope.spawn(move || self.hand_over(id, &order, until));
            }
        });
    }

    fn hand_over(&self, id: RequestId, peers: &[SocketAddr], until: Timestamp) {
        for &peer in peers {
            let Some(state) = self.pause(id) else { return };
            let phase = state.phase;
            let message =
                HandoverMessage::new(self.ports.host.clone(), HandoverBody::Offer(Box::new(state)));
            let offer = match message.encode() {
                Ok(offer) => offer,
                Err(error) => {
                    log::warn!("event=handover_too_large request={id} error=\"{error}\"");
                    self.ports.registry.send_message(id, DriverMessage::Resume);
                    return;
                }
            };
            let handover = SenderProtocol::new(phase);
            let mut run = OfferRun { ports: &self.ports, id, peer, offer, handover };
            if run.run(until) == OfferOutcome::Settled {
                return;
            }
        }
    }

    /// Pauses a session and returns its state, or `None` if it has ended or does not reply in time.
    fn pause(&self, id: RequestId) -> Option<UnfinishedRequest> {
        let (sender, receiver) = mpsc::channel();
        let is_running = self.ports.registry.send_message(id, DriverMessage::HandOver(sender));
        is_running.then(|| receiver.recv_timeout(DESCRIBE_TIMEOUT).ok()).flatten()
    }
}

/// How the handover of one request to one peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OfferOutcome {
    /// The handover or the request has ended, or the time is over.
    Settled,
    /// The peer refused, and another may accept.
    Refused,
}

/// Handover of one request to one peer.
struct OfferRun<'a> {
    ports: &'a HandoverPorts,
    id: RequestId,
    peer: SocketAddr,
    offer: Vec<u8>,
    handover: SenderProtocol,
}

impl OfferRun<'_> {
    fn run(&mut self, until: Timestamp) -> OfferOutcome {
        let mut events = vec![SenderEvent::Leave];
        loop {
            let now = self.ports.clock.now();
            while let Some(event) = events.pop() {
                for action in self.handover.on_event(now, event) {
                    match self.perform(action) {
                        Some(SenderEvent::Refused) => {
                            self.handover.on_event(now, SenderEvent::Refused);
                            self.ports.registry.send_message(self.id, DriverMessage::Resume);
                            return OfferOutcome::Refused;
                        }
                        Some(event) => events.push(event),
                        None => {}
                    }
                }
            }
            if self.handover.is_done() || now >= until {
                return OfferOutcome::Settled;
            }
            events.push(self.wait());
        }
    }

    /// Performs one action and returns the event that results from it, if any.
    fn perform(&self, action: SenderAction) -> Option<SenderEvent> {
        match action {
            // The session has been paused since it reported its state.
            SenderAction::Pause => None,
            SenderAction::SendOffer => self.send_offer(),
            SenderAction::StopSession => {
                self.ports.registry.send(self.id, SessionEvent::HandoverTaken);
                None
            }
            SenderAction::SendConfirm => {
                self.send(HandoverBody::Confirm);
                None
            }
            SenderAction::Resume => {
                self.ports.registry.send_message(self.id, DriverMessage::Resume);
                None
            }
            SenderAction::SendResult => {
                self.send_result();
                None
            }
        }
    }

    fn send_offer(&self) -> Option<SenderEvent> {
        match self.ports.client.take_over(self.peer, self.id, self.offer.clone()) {
            Ok(TakeOverAnswer::Accepted) => Some(SenderEvent::Acked),
            Ok(TakeOverAnswer::Refused(code)) => {
                log::info!("event=handover_refused request={} code={}", self.id, code.number());
                Some(SenderEvent::Refused)
            }
            // The peer may have received it, so the same offer is sent again.
            Err(error) => {
                log::warn!("event=handover_unanswered request={} error=\"{error}\"", self.id);
                None
            }
        }
    }

    fn send_result(&self) {
        let Some(part) = self.ports.answers.read_from(self.id, u32::MAX) else { return };
        let AnswerState::Finished(end) = part.state else { return };
        let end = HandoverEnd::from(&end);
        let result = HandoverResult { version: HANDOVER_VERSION, id: self.id, end };
        self.send(HandoverBody::Result(result));
    }

    /// Sends a message that may be lost: without it the receiver decides by itself after a timeout
    /// or once this host is gone.
    fn send(&self, body: HandoverBody) {
        let message = HandoverMessage::new(self.ports.host.clone(), body);
        let sent = message.encode().map_err(|error| error.to_string()).and_then(|bytes| {
            let sent = self.ports.client.take_over(self.peer, self.id, bytes);
            sent.map_err(|error| error.to_string())
        });
        if let Err(error) = sent {
            log::warn!("event=handover_message_lost request={} error=\"{error}\"", self.id);
        }
    }

    /// Waits until the session ends, at most [`RESULT_POLL_INTERVAL`].
    fn wait(&self) -> SenderEvent {
        let part = self.ports.answers.wait_from(self.id, u32::MAX, RESULT_POLL_INTERVAL);
        match part.map(|part| part.state) {
            Some(AnswerState::Running) => SenderEvent::Timer,
            Some(AnswerState::Finished(_)) | None => SenderEvent::SessionEnded,
        }
    }
}
