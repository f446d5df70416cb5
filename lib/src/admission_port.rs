//! Blocks the threads of sessions until the admission controller decides about their requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use crate::admission::AdmissionAction;
use crate::admission::AdmissionController;
use crate::admission::AdmissionEvent;
use crate::admission::AdmissionRequest;
use crate::admission::AdmissionTicket;
use crate::caller_guard::CallerStatus;
use crate::not_run::NotRunProof;
use crate::not_run::NotRunRefusal;
use crate::request_router::RequestRouter;
use crate::request_router::ServerState;
use crate::resource::TeamResource;
use crate::result_code::ResultCode;
use crate::session_ports::lock;
use crate::session_request::CheckedRequest;
use crate::session_request::SessionEnd;
use crate::timestamp::ProcessClock;

/// Interval at which a waiting request checks whether its caller is still connected.
const PRESENCE_CHECK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct PortState {
    controller: AdmissionController,
    next_ticket: u64,
    waiters: BTreeMap<AdmissionTicket, Sender<AdmissionAction>>,
}

impl PortState {
    /// Passes an event to the controller and wakes the threads whose requests it decides.
    fn apply(&mut self, clock: ProcessClock, event: AdmissionEvent) {
        for action in self.controller.on_event(clock.now(), event) {
            let (AdmissionAction::Admit(ticket) | AdmissionAction::Refuse { ticket, .. }) = action;
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A waiter that has just given up releases its slot by dropping its permit.
                let _ = waiter.send(action);
            }
        }
    }
}

/// The admission controller of one host, shared by its threads.
pub struct AdmissionPort {
    clock: ProcessClock,
    router: Arc<Mutex<RequestRouter>>,
    state: Arc<Mutex<PortState>>,
    closed: AtomicBool,
}

/// Permission to run one request. Dropping it releases the request's slot.
pub struct AdmissionPermit {
    clock: ProcessClock,
    state: Arc<Mutex<PortState>>,
    ticket: AdmissionTicket,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.waiters.remove(&self.ticket);
        state.apply(self.clock, AdmissionEvent::Release(self.ticket));
    }
}

impl AdmissionPort {
    /// Creates a port whose slots are those of the servers that the router knows.
    pub fn new(clock: ProcessClock, router: Arc<Mutex<RequestRouter>>) -> Self {
        Self { clock, router, state: Arc::default(), closed: AtomicBool::new(false) }
    }

    /// Refuses all waiting and future requests, since the host is about to shut down.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Blocks until the request may run; the error is the final answer of a request that may not.
    pub fn acquire(
        &self,
        request: &CheckedRequest,
        team: &TeamResource,
        caller: &CallerStatus,
    ) -> Result<AdmissionPermit, SessionEnd> {
        let submitted = AdmissionRequest {
            service: request.service.name.clone(),
            slots: self.slots(request),
            team: team.name.clone(),
            weight: team.weight,
            max_in_flight: team.max_in_flight,
            deadline: request.deadline,
        };
        let (sender, receiver) = mpsc::channel();
        let ticket = {
            let mut state = lock(&self.state);
            let ticket = AdmissionTicket(state.next_ticket);
            state.next_ticket += 1;
            state.waiters.insert(ticket, sender);
            state.apply(self.clock, AdmissionEvent::Submit(ticket, submitted));
            ticket
        };
        // If this function returns an error, dropping the permit releases the slot.
        let permit = AdmissionPermit { clock: self.clock, state: self.state.clone(), ticket };
        loop {
            let left = request.deadline.since(self.clock.now());
            match receiver.recv_timeout(left.min(PRESENCE_CHECK)) {
                Ok(AdmissionAction::Admit(_)) => return Ok(permit),
                Ok(AdmissionAction::Refuse { code, retry_after, .. }) => {
                    return Err(refuse(code, Some(retry_after)));
                }
                Err(_) if caller.is_disconnected() => {
                    return Err(refuse(ResultCode::CallerGone, None));
                }
                Err(_) if self.closed.load(Ordering::Relaxed) => {
                    return Err(refuse(ResultCode::HostLeaving, None));
                }
                // The controller refuses all requests whose deadline has passed, including this
                // one.
                Err(_) => lock(&self.state).apply(self.clock, AdmissionEvent::Timer),
            }
        }
    }

    /// Returns the total concurrency of the service's live servers.
    fn slots(&self, request: &CheckedRequest) -> u32 {
        let router = lock(&self.router);
        let live = router.servers().filter(|(_, info)| {
            info.service == request.service.name && info.state == ServerState::Live
        });
        live.map(|(_, info)| info.concurrency).sum()
    }
}

fn refuse(code: ResultCode, retry_after: Option<Duration>) -> SessionEnd {
    match NotRunRefusal::new(code, NotRunProof::NeverDispatched) {
        Some(refusal) => SessionEnd::NotRun { refusal, retry_after },
        None => SessionEnd::Unknown { code, retry_after: None },
    }
}
