//! Hands the unfinished requests of a leaving entry host to its peers.
//!
//! Joins [`LeaverHandover`] with the running sessions and the peer link, one thread per request.

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
use crate::handover_protocol::LeaverAction;
use crate::handover_protocol::LeaverEvent;
use crate::handover_protocol::LeaverHandover;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::peer_client::PeerClient;
use crate::peer_link::TakeOverAnswer;
use crate::session_event::SessionEvent;
use crate::session_registry::DriverMessage;
use crate::session_registry::SessionRegistry;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Time for a session to stand still and describe itself.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks at a call in flight.
const RESULT_CHECK: Duration = Duration::from_millis(50);

/// What handing over needs.
#[derive(Clone)]
pub struct LeaverPorts {
    /// This host.
    pub host: HostId,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Running sessions.
    pub registry: Arc<SessionRegistry>,
    /// Answers, for calls that end here.
    pub answers: Arc<AnswerStore>,
    /// Calls to peers.
    pub client: PeerClient,
}

/// Hands requests over.
pub struct HandoverLeaver {
    ports: LeaverPorts,
}

impl HandoverLeaver {
    /// Builds the leaver's side of a host.
    pub fn new(ports: LeaverPorts) -> Self {
        Self { ports }
    }

    /// Hands every running request to one of the peers, and returns when all are settled or the
    /// time is over. Requests that no peer takes go on here.
    pub fn hand_over_all(&self, peers: &[SocketAddr], until: Timestamp) {
        std::thread::scope(|scope| {
            for (index, id) in self.ports.registry.running().into_iter().enumerate() {
                // Each request begins at another peer, so that they share the load.
                let mut order = peers.to_vec();
                order.rotate_left(index.checked_rem(peers.len()).unwrap_or_default());
                scope.spawn(move || self.hand_over(id, &order, until));
            }
        });
    }

    fn hand_over(&self, id: RequestId, peers: &[SocketAddr], until: Timestamp) {
        for &peer in peers {
            let Some(state) = self.freeze(id) else { return };
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
            let handover = LeaverHandover::new(phase);
            let mut run = LeaverRun { ports: &self.ports, id, peer, offer, handover };
            if run.run(until) == LeaverEnd::Settled {
                return;
            }
        }
    }

    /// Makes a session stand still and describe itself; `None` if it has ended.
    fn freeze(&self, id: RequestId) -> Option<UnfinishedRequest> {
        let (sender, receiver) = mpsc::channel();
        let runs = self.ports.registry.send_message(id, DriverMessage::HandOver(sender));
        runs.then(|| receiver.recv_timeout(DESCRIBE_TIMEOUT).ok()).flatten()
    }
}

/// How the handover of one request to one peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaverEnd {
    /// The peer has it, or the request has ended.
    Settled,
    /// The peer refused; another may take it.
    Refused,
}

/// Handover of one request to one peer.
struct LeaverRun<'a> {
    ports: &'a LeaverPorts,
    id: RequestId,
    peer: SocketAddr,
    offer: Vec<u8>,
    handover: LeaverHandover,
}

impl LeaverRun<'_> {
    fn run(&mut self, until: Timestamp) -> LeaverEnd {
        let mut events = vec![LeaverEvent::Leave];
        loop {
            let now = self.ports.clock.now();
            while let Some(event) = events.pop() {
                for action in self.handover.on_event(now, event) {
                    match self.perform(action) {
                        Some(LeaverEvent::Refused) => {
                            self.handover.on_event(now, LeaverEvent::Refused);
                            self.ports.registry.send_message(self.id, DriverMessage::Resume);
                            return LeaverEnd::Refused;
                        }
                        Some(event) => events.push(event),
                        None => {}
                    }
                }
            }
            if self.handover.is_done() || now >= until {
                return LeaverEnd::Settled;
            }
            events.push(self.wait());
        }
    }

    /// Carries out one action and returns the event that follows from it.
    fn perform(&self, action: LeaverAction) -> Option<LeaverEvent> {
        match action {
            // The session stands still since it described itself.
            LeaverAction::Freeze => None,
            LeaverAction::SendOffer => self.send_offer(),
            LeaverAction::StopSession => {
                self.ports.registry.send(self.id, SessionEvent::HandoverTaken);
                None
            }
            LeaverAction::SendConfirm => {
                self.send(HandoverBody::Confirm);
                None
            }
            LeaverAction::Unfreeze => {
                self.ports.registry.send_message(self.id, DriverMessage::Resume);
                None
            }
            LeaverAction::SendResult => {
                self.send_result();
                None
            }
        }
    }

    fn send_offer(&self) -> Option<LeaverEvent> {
        match self.ports.client.take_over(self.peer, self.id, self.offer.clone()) {
            Ok(TakeOverAnswer::Accepted) => Some(LeaverEvent::Acked),
            Ok(TakeOverAnswer::Refused(code)) => {
                log::info!("event=handover_refused request={} code={}", self.id, code.number());
                Some(LeaverEvent::Refused)
            }
            // The peer may have it: the same offer goes out again.
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

    /// Sends a message that needs no answer: without it the taker decides by itself.
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

    /// Waits for the end of the session or the timer, whichever is first.
    fn wait(&self) -> LeaverEvent {
        let part = self.ports.answers.wait_from(self.id, u32::MAX, RESULT_CHECK);
        match part.map(|part| part.state) {
            Some(AnswerState::Running) => LeaverEvent::Timer,
            Some(AnswerState::Finished(_)) | None => LeaverEvent::SessionEnded,
        }
    }
}
