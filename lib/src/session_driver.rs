//! Runs one request from its acceptance to its final answer on the calling thread.
//!
//! Carries out the actions of [`RequestSession`] in order. Each attempt has a reader thread. Its
//! events and messages from other threads arrive over one channel; receiving from it times out at
//! the session's next timer.

mod attempts;
mod claiming;
mod takeover;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::time::Duration;

use self::claiming::claim_or_wait;
use crate::answer_table::AnswerError;
use crate::crash_suspects::AttemptExit;
use crate::crash_suspects::SuspectWork;
use crate::crash_suspects::WorkFingerprint;
use crate::engine::TokenChunk;
use crate::handover::HandoverPhase;
use crate::handover::UnfinishedRequest;
use crate::not_run::NotRunProof;
use crate::not_run::NotRunRefusal;
use crate::prompt::BlockHash;
use crate::prompt::count_tokens;
use crate::prompt::hash_blocks;
use crate::request_session::RequestSession;
use crate::result_code::ResultCode;
use crate::session_attempt::AttemptHandle;
use crate::session_claim::ClaimDecision;
use crate::session_event::RETRY_AFTER;
use crate::session_event::SessionAction;
use crate::session_event::SessionEvent;
use crate::session_event::SessionKind;
use crate::session_event::SessionLimits;
use crate::session_ports::SessionPorts;
use crate::session_ports::lock;
use crate::session_registry::DriverMessage;
use crate::session_registry::SessionView;
use crate::session_request::CallerSink;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::session_request::SessionEnd;
use crate::session_request::SinkState;

/// Runs requests, each on the thread that calls it.
#[derive(Clone)]
pub struct SessionDriver {
    ports: SessionPorts,
}

impl SessionDriver {
    /// Builds a driver.
    pub fn new(ports: SessionPorts) -> Self {
        Self { ports }
    }

    /// Runs one request to its final answer; blocks the calling thread.
    pub fn run(&self, request: CheckedRequest, sink: &mut dyn CallerSink) {
        let kind = SessionKind::from(&request);
        let limits = SessionLimits::from(&request.service.latency_target);
        let session = RequestSession::new(kind, limits, request.deadline);
        self.run_session(request, session, sink);
    }

    /// Runs a request from a given session state, such as after a handover.
    pub fn run_session(
        &self,
        request: CheckedRequest,
        session: RequestSession,
        sink: &mut dyn CallerSink,
    ) {
        sink.accepted(request.id);
        let begun = self.ports.answers.begin(request.id, max_tokens_of(&request));
        if begun == Err(AnswerError::Full) {
            sink.finish(&refuse(ResultCode::QueueFull, Some(RETRY_AFTER)));
            return;
        }
        if !request.idempotent && request.idempotency_key.is_none() {
            let end = refuse(ResultCode::KeyRequired, None);
            self.ports.answers.finish(request.id, end.clone());
            sink.finish(&end);
            return;
        }
        SessionRun::new(&self.ports, Arc::new(request), session, sink).run();
    }
}

fn max_tokens_of(request: &CheckedRequest) -> u32 {
    match request.work {
        RequestWork::Model { max_tokens, .. } => max_tokens,
        RequestWork::App { .. } => 0,
    }
}

fn refuse(code: ResultCode, retry_after: Option<Duration>) -> SessionEnd {
    match NotRunRefusal::new(code, NotRunProof::NeverDispatched) {
        Some(refusal) => SessionEnd::NotRun { refusal, retry_after },
        None => SessionEnd::Unknown { code, retry_after: None },
    }
}

/// A running request; dropping it releases its resources, also after a panic.
struct SessionRun<'a> {
    ports: &'a SessionPorts,
    request: Arc<CheckedRequest>,
    session: RequestSession,
    sink: &'a mut dyn CallerSink,
    sender: Sender<DriverMessage>,
    receiver: Receiver<DriverMessage>,
    /// Events that result from actions; handled before those of the channel.
    pending: VecDeque<SessionEvent>,
    /// Events held back during a handover; handled if it is refused.
    deferred: VecDeque<SessionEvent>,
    /// Whether the session is paused for a handover.
    paused: bool,
    current: Option<AttemptHandle>,
    blocks: Vec<BlockHash>,
    prompt_tokens: u32,
    fingerprint: WorkFingerprint,
    caller_disconnected: bool,
}

impl<'a> SessionRun<'a> {
    fn new(
        ports: &'a SessionPorts,
        request: Arc<CheckedRequest>,
        session: RequestSession,
        sink: &'a mut dyn CallerSink,
    ) -> Self {
        let (sender, receiver) = mpsc::channel();
        let (blocks, prompt_tokens) = match &request.work {
            RequestWork::Model { prompt, .. } => (hash_blocks(prompt), count_tokens(prompt)),
            RequestWork::App { .. } => (Vec::new(), 0),
        };
        ports.registry.insert(request.id, sender.clone());
        lock(&ports.suspects).admit(request.id, SuspectWork::from(request.as_ref()));
        Self {
            ports,
            session,
            sink,
            sender,
            receiver,
            pending: VecDeque::from([SessionEvent::Start]),
            deferred: VecDeque::new(),
            paused: false,
            current: None,
            blocks,
            prompt_tokens,
            fingerprint: WorkFingerprint::from(request.as_ref()),
            caller_disconnected: false,
            request,
        }
    }

    fn run(mut self) {
        // A disconnect before the session was registered has not been reported to it.
        if self.sink.state() == SinkState::Closed {
            self.pending.push_back(SessionEvent::CallerDisconnected);
        }
        while !self.session.is_finished() {
            let event = match self.pending.pop_front() {
                Some(event) => event,
                None => match self.next_event() {
                    Some(event) => event,
                    None => continue,
                },
            };
            self.observe(&event);
            let now = self.ports.clock.now();
            let actions = self.session.on_event(now, event, &mut lock(&self.ports.budget));
            for action in actions {
                self.perform(action);
            }
        }
    }

    /// Waits for a message or the timer; returns `None` if the message carries no event to handle
    /// now.
    fn next_event(&mut self) -> Option<SessionEvent> {
        let now = self.ports.clock.now();
        let timer = if self.paused { self.request.deadline } else { self.session.next_timer() };
        let message = match self.receiver.recv_timeout(timer.since(now)) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                self.paused = false;
                return Some(SessionEvent::Timer);
            }
        };
        // Sending a reply fails only if the asking thread no longer waits for it.
        match message {
            DriverMessage::Event(event) => return self.defer_if_paused(event),
            DriverMessage::Describe(reply) => drop(reply.send(self.view())),
            DriverMessage::HandOver(reply) => drop(reply.send(self.pause_for_handover())),
            DriverMessage::Resume => {
                self.paused = false;
                self.pending.append(&mut self.deferred);
            }
        }
        None
    }

    /// Returns the event, or defers it while the session is paused. An accepted handover is never
    /// deferred.
    fn defer_if_paused(&mut self, event: SessionEvent) -> Option<SessionEvent> {
        if self.paused && event != SessionEvent::HandoverTaken {
            self.deferred.push_back(event);
            return None;
        }
        Some(event)
    }

    /// Describes the request for a peer and pauses, so that nothing more is dispatched or relayed
    /// to the caller. A call in flight is described but not paused.
    fn pause_for_handover(&mut self) -> UnfinishedRequest {
        let part = self.ports.answers.read_from(self.request.id, 0);
        let chunks = part.map(|part| part.chunks).unwrap_or_default();
        let now = self.ports.clock.now();
        let state = UnfinishedRequest::describe(&self.request, &self.session, now, &chunks);
        self.paused = state.phase != HandoverPhase::InFlight;
        state
    }

    fn view(&self) -> SessionView {
        let stream = self.session.stream();
        let max_tokens = max_tokens_of(&self.request);
        SessionView {
            id: self.request.id,
            blocks: self.blocks.clone(),
            context_tokens: self.prompt_tokens.saturating_add(stream.next_offset()),
            remaining_tokens: max_tokens.saturating_sub(stream.next_offset()),
            idempotent: self.request.idempotent,
            last_attempt: self.session.last_attempt(),
        }
    }

    fn perform(&mut self, action: SessionAction) {
        match action {
            SessionAction::RequestClaim => self.claim(),
            SessionAction::ChooseServer { excluded } => {
                let event = self.choose(&excluded);
                self.pending.push_back(event);
            }
            SessionAction::StartAttempt(plan) => self.start(plan),
            SessionAction::CancelAttempt { attempt, .. } => self.cancel(attempt),
            SessionAction::Relay(chunk) => self.relay(&chunk),
            SessionAction::RetireConnections(server) => self.retire(server),
            SessionAction::SuspectServer(server) => self.suspect(server),
            SessionAction::Finish(end) => self.finish(&end),
        }
    }

    fn claim(&mut self) {
        let decision = match &self.ports.claims {
            Some(claims) => claim_or_wait(self.ports, claims.as_ref(), &self.request),
            None => match refuse(ResultCode::NotReady, None) {
                SessionEnd::NotRun { refusal, .. } => ClaimDecision::NotRun(refusal),
                _ => ClaimDecision::Unknown(ResultCode::Internal),
            },
        };
        self.pending.push_back(SessionEvent::ClaimDecided(decision));
    }

    fn relay(&mut self, chunk: &TokenChunk) {
        self.ports.answers.push(self.request.id, chunk);
        if !self.caller_disconnected && self.sink.token(chunk) == SinkState::Closed {
            self.caller_disconnected = true;
            self.pending.push_back(SessionEvent::CallerDisconnected);
        }
    }

    fn finish(&mut self, end: &SessionEnd) {
        if let Some(attempt) = self.current.as_ref().map(|current| current.plan.attempt) {
            self.release_attempt(attempt, AttemptExit::Stopped);
        }
        if matches!(end, SessionEnd::ModelDone { .. } | SessionEnd::AppDone(_)) {
            lock(&self.ports.budget).on_success();
        }
        log::info!(
            "event=request_finished request={} service={} team={} code={} attempts={}",
            self.request.id,
            self.request.service.name,
            self.request.team,
            end.code().number(),
            self.session.ledger().begun()
        );
        self.settle_claim(end);
        self.ports.answers.finish(self.request.id, end.clone());
        self.sink.finish(end);
    }

    /// Records the answer under a claimed key, or releases the key if nothing ran.
    fn settle_claim(&self, end: &SessionEnd) {
        let Some(claims) = &self.ports.claims else { return };
        if !self.session.is_claimed() {
            return;
        }
        match end {
            SessionEnd::AppDone(answer) => {
                claims.complete(&self.request, answer);
            }
            SessionEnd::NotRun { refusal, .. } => claims.release(&self.request, refusal),
            _ => {}
        }
    }
}

impl Drop for SessionRun<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.current.as_ref().map(|current| current.plan.attempt) {
            self.release_attempt(attempt, AttemptExit::Stopped);
        }
        lock(&self.ports.suspects).forget(self.request.id);
        self.ports.registry.remove(self.request.id);
    }
}
