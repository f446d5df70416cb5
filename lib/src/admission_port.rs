//! Lets the threads of sessions wait at the admission gate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;

use crate::admission::AdmissionAction;
use crate::admission::AdmissionEvent;
use crate::admission::AdmissionGate;
use crate::admission::AdmissionRequest;
use crate::admission::AdmissionTicket;
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

#[derive(Default)]
struct PortState {
    gate: AdmissionGate,
    next_ticket: u64,
    waiters: BTreeMap<AdmissionTicket, Sender<AdmissionAction>>,
}

impl PortState {
    /// Takes an event and wakes the threads that it decides about.
    fn apply(&mut self, clock: ProcessClock, event: AdmissionEvent) {
        for action in self.gate.on_event(clock.now(), event) {
            let (AdmissionAction::Admit(ticket) | AdmissionAction::Refuse { ticket, .. }) = action;
            if let Some(waiter) = self.waiters.remove(&ticket) {
                let delivered = waiter.send(action).is_ok();
                debug_assert!(delivered, "a waiter holds its receiver until it has an answer");
            }
        }
    }
}

/// The admission gate of one host.
pub struct AdmissionPort {
    clock: ProcessClock,
    router: Arc<Mutex<RequestRouter>>,
    state: Arc<Mutex<PortState>>,
}

/// Permission to run one request; its place is free again when this is dropped.
pub struct AdmissionPass {
    clock: ProcessClock,
    state: Arc<Mutex<PortState>>,
    ticket: AdmissionTicket,
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        lock(&self.state).apply(self.clock, AdmissionEvent::Leave(self.ticket));
    }
}

impl AdmissionPort {
    /// Builds a gate over the servers that the router knows.
    pub fn new(clock: ProcessClock, router: Arc<Mutex<RequestRouter>>) -> Self {
        Self { clock, router, state: Arc::default() }
    }

    /// Waits until the request may run, or returns its final answer if it must not.
    pub fn enter(
        &self,
        request: &CheckedRequest,
        team: &TeamResource,
    ) -> Result<AdmissionPass, SessionEnd> {
        let submitted = AdmissionRequest {
            service: request.service.name.clone(),
            places: self.places(request),
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
        loop {
            let left = request.deadline.since(self.clock.now());
            match receiver.recv_timeout(left) {
                Ok(AdmissionAction::Admit(_)) => {
                    return Ok(AdmissionPass {
                        clock: self.clock,
                        state: self.state.clone(),
                        ticket,
                    });
                }
                Ok(AdmissionAction::Refuse { code, retry_after, .. }) => {
                    return Err(refuse(code, retry_after));
                }
                // The gate refuses every request whose deadline has come, this one included.
                Err(_) => lock(&self.state).apply(self.clock, AdmissionEvent::Timer),
            }
        }
    }

    /// Returns the requests that the service's live servers take at once.
    fn places(&self, request: &CheckedRequest) -> u32 {
        let router = lock(&self.router);
        let live = router.servers().filter(|(_, info)| {
            info.service == request.service.name && info.state == ServerState::Live
        });
        live.map(|(_, info)| info.concurrency).sum()
    }
}

fn refuse(code: ResultCode, retry_after: std::time::Duration) -> SessionEnd {
    match NotRunRefusal::new(code, NotRunProof::NeverDispatched) {
        Some(refusal) => SessionEnd::NotRun { refusal, retry_after: Some(retry_after) },
        None => SessionEnd::Unknown { code, retry_after: None },
    }
}
