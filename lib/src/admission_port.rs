//! Lets the threads of sessions wait at the admission gate.

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
use crate::caller_guard::CallerPresence;
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

/// Time between two looks at whether the caller of a waiting request is still there.
const PRESENCE_CHECK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct PortState {
    controller: AdmissionController,
    next_ticket: u64,
    waiters: BTreeMap<AdmissionTicket, Sender<AdmissionAction>>,
}

impl PortState {
    /// Takes an event and wakes the threads that it decides about.
    fn apply(&mut self, clock: ProcessClock, event: AdmissionEvent) {
        for action in self.controller.on_event(clock.now(), event) {
            let (AdmissionAction::Admit(ticket) | AdmissionAction::Refuse { ticket, .. }) = action;
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A waiter that gave up just now gives its place back by its pass.
                let _ = waiter.send(action);
            }
        }
    }
}

/// The admission gate of one host.
pub struct AdmissionPort {
    clock: ProcessClock,
    router: Arc<Mutex<RequestRouter>>,
    state: Arc<Mutex<PortState>>,
    closed: AtomicBool,
}

/// Permission to run one request; its place is free again when this is dropped.
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
    /// Builds a gate over the servers that the router knows.
    pub fn new(clock: ProcessClock, router: Arc<Mutex<RequestRouter>>) -> Self {
        Self { clock, router, state: Arc::default(), closed: AtomicBool::new(false) }
    }

    /// Refuses every request that waits, or comes from now on: the host has no time left.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Waits until the request may run, or returns its final answer if it must not.
    pub fn acquire(
        &self,
        request: &CheckedRequest,
        team: &TeamResource,
        caller: &CallerPresence,
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
        // Dropped without being returned, the pass gives the place back.
        let permit = AdmissionPermit { clock: self.clock, state: self.state.clone(), ticket };
        loop {
            let left = request.deadline.since(self.clock.now());
            match receiver.recv_timeout(left.min(PRESENCE_CHECK)) {
                Ok(AdmissionAction::Admit(_)) => return Ok(permit),
                Ok(AdmissionAction::Refuse { code, retry_after, .. }) => {
                    return Err(refuse(code, Some(retry_after)));
                }
                Err(_) if caller.is_gone() => return Err(refuse(ResultCode::CallerGone, None)),
                Err(_) if self.closed.load(Ordering::Relaxed) => {
                    return Err(refuse(ResultCode::HostLeaving, None));
                }
                // The gate refuses every request whose deadline has come, this one included.
                Err(_) => lock(&self.state).apply(self.clock, AdmissionEvent::Timer),
            }
        }
    }

    /// Returns the requests that the service's live servers take at once.
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
