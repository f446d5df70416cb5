//! Takes over unfinished requests that draining peers offer.
//!
//! Connects [`ReceiverProtocol`] to the peer link and the sessions of this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::config_follower::ConfigFollower;
use crate::handover::HandoverResult;
use crate::handover::UnfinishedRequest;
use crate::handover_message::HandoverBody;
use crate::handover_message::HandoverMessage;
use crate::handover_protocol::ReceiverAction;
use crate::handover_protocol::ReceiverEvent;
use crate::handover_protocol::ReceiverProtocol;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::peer_link::TakeOverAnswer;
use crate::resource::ServiceResource;
use crate::result_code::ResultCode;
use crate::session_driver::SessionDriver;
use crate::session_ports::lock;
use crate::timestamp::ProcessClock;

/// Maximum number of offered requests that are tracked at a time.
const MAX_OFFERED: usize = 4_096;

/// A request that was offered to this host.
struct OfferedRequest {
    sender: HostId,
    state: UnfinishedRequest,
    service: Arc<ServiceResource>,
    handover: ReceiverProtocol,
}

/// Tracks and continues the requests that peers offered to this host.
pub struct HandoverReceiver {
    clock: ProcessClock,
    config: Arc<ConfigFollower>,
    driver: Arc<SessionDriver>,
    offered: Mutex<BTreeMap<RequestId, OfferedRequest>>,
}

impl HandoverReceiver {
    /// Builds the receiver of a host.
    pub fn new(
        clock: ProcessClock,
        config: Arc<ConfigFollower>,
        driver: Arc<SessionDriver>,
    ) -> Self {
        Self { clock, config, driver, offered: Mutex::default() }
    }

    /// Handles one message of a draining host.
    pub fn on_message(&self, request: RequestId, payload: &[u8]) -> TakeOverAnswer {
        let message = match HandoverMessage::decode(payload) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("event=bad_handover request={request} error=\"{error}\"");
                return TakeOverAnswer::Refused(error.code());
            }
        };
        match message.body {
            HandoverBody::Offer(state) if state.id == request => {
                self.on_offer(message.leaver, *state)
            }
            HandoverBody::Result(result) if result.id == request => {
                self.on_event(request, ReceiverEvent::ResultArrived, Some(result))
            }
            HandoverBody::Confirm => self.on_event(request, ReceiverEvent::Confirmed, None),
            HandoverBody::Offer(_) | HandoverBody::Result(_) => {
                TakeOverAnswer::Refused(ResultCode::RecordMalformed)
            }
        }
    }

    /// Handles due timers and senders that are gone. `is_present` tells whether a host is still a
    /// member.
    pub fn tick(&self, is_present: impl Fn(&HostId) -> bool) {
        let now = self.clock.now();
        let mut offered = lock(&self.offered);
        for found in offered.values_mut() {
            let mut actions = Vec::new();
            if !is_present(&found.sender) {
                actions.extend(found.handover.on_event(now, ReceiverEvent::SenderGone));
            }
            if found.handover.next_timer().is_some_and(|due| now >= due) {
                actions.extend(found.handover.on_event(now, ReceiverEvent::Timer));
            }
            self.perform_all(found, actions, None);
        }
        // A settled request is kept until its deadline to acknowledge duplicate offers.
        offered.retain(|_, found| {
            found.handover.next_timer().is_some() || now < found.handover.deadline()
        });
    }

    fn on_offer(&self, sender: HostId, state: UnfinishedRequest) -> TakeOverAnswer {
        let now = self.clock.now();
        let snapshot = self.config.current();
        let Some(service) = snapshot.state.services.get(&state.service) else {
            return TakeOverAnswer::Refused(ResultCode::UnknownService);
        };
        let mut offered = lock(&self.offered);
        if offered.len() >= MAX_OFFERED && !offered.contains_key(&state.id) {
            return TakeOverAnswer::Refused(ResultCode::QueueFull);
        }
        let service = Arc::new(service.clone());
        let has_capacity = self.driver.store_offer(&state, service.clone());
        let found = offered.entry(state.id).or_insert_with(|| {
            let deadline = now + std::time::Duration::from_millis(state.left_ms);
            let handover = ReceiverProtocol::new(state.phase, deadline);
            OfferedRequest { sender, state, service, handover }
        });
        let actions = found.handover.on_event(now, ReceiverEvent::Offered { has_capacity });
        self.perform_all(found, actions, None)
    }

    fn on_event(
        &self,
        request: RequestId,
        event: ReceiverEvent,
        result: Option<HandoverResult>,
    ) -> TakeOverAnswer {
        let now = self.clock.now();
        let mut offered = lock(&self.offered);
        let Some(found) = offered.get_mut(&request) else {
            return TakeOverAnswer::Refused(ResultCode::UnknownRequest);
        };
        let actions = found.handover.on_event(now, event);
        self.perform_all(found, actions, result);
        TakeOverAnswer::Accepted
    }

    fn perform_all(
        &self,
        found: &OfferedRequest,
        actions: Vec<ReceiverAction>,
        mut result: Option<HandoverResult>,
    ) -> TakeOverAnswer {
        let mut answer = TakeOverAnswer::Accepted;
        for action in actions {
            match action {
                ReceiverAction::Refuse => answer = TakeOverAnswer::Refused(ResultCode::QueueFull),
                // The offered tokens were stored when the offer arrived.
                ReceiverAction::StoreAndAck => {}
                ReceiverAction::StartSession | ReceiverAction::FinishUnknown => self.resume(found),
                ReceiverAction::StoreResult => {
                    if let Some(result) = result.take() {
                        self.driver.store_result(result);
                    }
                }
            }
        }
        answer
    }

    /// Continues a request on a separate thread.
    fn resume(&self, found: &OfferedRequest) {
        let (driver, state) = (self.driver.clone(), found.state.clone());
        let (service, id) = (found.service.clone(), found.state.id);
        let thread = std::thread::Builder::new()
            .name("taken-session".into())
            .spawn(move || driver.take_over(&state, service));
        if let Err(error) = thread {
            log::error!("event=taken_session_not_started request={id} error=\"{error}\"");
        }
    }
}
