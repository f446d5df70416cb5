//! Takes over unfinished requests that leaving peers offer.
//!
//! Joins [`TakerHandover`] with the peer link and the sessions of this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::config_follower::ConfigFollower;
use crate::handover::HandoverResult;
use crate::handover::UnfinishedRequest;
use crate::handover_message::HandoverBody;
use crate::handover_message::HandoverMessage;
use crate::handover_protocol::TakerAction;
use crate::handover_protocol::TakerEvent;
use crate::handover_protocol::TakerHandover;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::peer_link::TakeOverAnswer;
use crate::resource::ServiceResource;
use crate::result_code::ResultCode;
use crate::session_driver::SessionDriver;
use crate::session_ports::lock;
use crate::timestamp::ProcessClock;

/// Most requests that are taken over and not settled at once.
const MAX_TAKEN: usize = 4_096;

/// One request that was offered.
struct TakenRequest {
    leaver: HostId,
    state: UnfinishedRequest,
    service: Arc<ServiceResource>,
    handover: TakerHandover,
}

/// Requests that peers offered to this host.
pub struct HandoverTaker {
    clock: ProcessClock,
    config: Arc<ConfigFollower>,
    driver: Arc<SessionDriver>,
    taken: Mutex<BTreeMap<RequestId, TakenRequest>>,
}

impl HandoverTaker {
    /// Builds the taker's side of a host.
    pub fn new(
        clock: ProcessClock,
        config: Arc<ConfigFollower>,
        driver: Arc<SessionDriver>,
    ) -> Self {
        Self { clock, config, driver, taken: Mutex::default() }
    }

    /// Takes one message of a leaver.
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
                self.on_event(request, TakerEvent::ResultArrived, Some(result))
            }
            HandoverBody::Confirm => self.on_event(request, TakerEvent::Confirmed, None),
            HandoverBody::Offer(_) | HandoverBody::Result(_) => {
                TakeOverAnswer::Refused(ResultCode::RecordMalformed)
            }
        }
    }

    /// Passes time and the departure of leavers; `is_present` tells whether a host still answers.
    pub fn tick(&self, is_present: impl Fn(&HostId) -> bool) {
        let now = self.clock.now();
        let mut taken = lock(&self.taken);
        for found in taken.values_mut() {
            let mut actions = Vec::new();
            if !is_present(&found.leaver) {
                actions.extend(found.handover.on_event(now, TakerEvent::LeaverGone));
            }
            if found.handover.next_timer().is_some_and(|due| now >= due) {
                actions.extend(found.handover.on_event(now, TakerEvent::Timer));
            }
            self.perform_all(found, actions, None);
        }
        // A settled request answers repeated offers until its deadline.
        taken.retain(|_, found| {
            found.handover.next_timer().is_some() || now < found.handover.deadline()
        });
    }

    fn on_offer(&self, leaver: HostId, state: UnfinishedRequest) -> TakeOverAnswer {
        let now = self.clock.now();
        let snapshot = self.config.current();
        let Some(service) = snapshot.state.services.get(&state.service) else {
            return TakeOverAnswer::Refused(ResultCode::UnknownService);
        };
        let mut taken = lock(&self.taken);
        if taken.len() >= MAX_TAKEN && !taken.contains_key(&state.id) {
            return TakeOverAnswer::Refused(ResultCode::QueueFull);
        }
        let service = Arc::new(service.clone());
        let has_room = self.driver.store_offer(&state, service.clone());
        let found = taken.entry(state.id).or_insert_with(|| {
            let deadline = now + std::time::Duration::from_millis(state.left_ms);
            let handover = TakerHandover::new(state.phase, deadline);
            TakenRequest { leaver, state, service, handover }
        });
        let actions = found.handover.on_event(now, TakerEvent::Offered { has_room });
        self.perform_all(found, actions, None)
    }

    fn on_event(
        &self,
        request: RequestId,
        event: TakerEvent,
        result: Option<HandoverResult>,
    ) -> TakeOverAnswer {
        let now = self.clock.now();
        let mut taken = lock(&self.taken);
        let Some(found) = taken.get_mut(&request) else {
            return TakeOverAnswer::Refused(ResultCode::UnknownRequest);
        };
        let actions = found.handover.on_event(now, event);
        self.perform_all(found, actions, result);
        TakeOverAnswer::Accepted
    }

    fn perform_all(
        &self,
        found: &TakenRequest,
        actions: Vec<TakerAction>,
        mut result: Option<HandoverResult>,
    ) -> TakeOverAnswer {
        let mut answer = TakeOverAnswer::Accepted;
        for action in actions {
            match action {
                TakerAction::Refuse => answer = TakeOverAnswer::Refused(ResultCode::QueueFull),
                // The answer was kept when the offer came.
                TakerAction::KeepAndAck => {}
                TakerAction::StartSession | TakerAction::FinishUnknown => self.go_on(found),
                TakerAction::StoreResult => {
                    if let Some(result) = result.take() {
                        self.driver.store_result(result);
                    }
                }
            }
        }
        answer
    }

    /// Goes on with a request on a thread of its own.
    fn go_on(&self, found: &TakenRequest) {
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
