//! Server choice, start, observation and cancellation of a session's attempts.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::SessionRun;
use crate::crash_suspects::AttemptExit;
use crate::crash_suspects::SuspectPlacement;
use crate::engine::ServerError;
use crate::engine::TokenChunk;
use crate::ids::AttemptNumber;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::request_router::RequestRouter;
use crate::request_router::RouteChoice;
use crate::request_router::RouteQuery;
use crate::request_router::ServerState;
use crate::result_code::ResultCode;
use crate::session_attempt::AttemptTarget;
use crate::session_attempt::start_attempt;
use crate::session_event::AttemptEnd;
use crate::session_event::AttemptPlan;
use crate::session_event::SessionEvent;
use crate::session_event::SessionLimits;
use crate::session_ports::ProbeResult;
use crate::session_ports::SessionCounters;
use crate::session_ports::lock;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::timestamp::Timestamp;

impl SessionRun<'_> {
    /// Updates the router and the crash suspects from an event before the session handles it.
    pub(super) fn observe(&mut self, event: &SessionEvent) {
        match event {
            SessionEvent::Chunk { attempt, chunk } => self.observe_chunk(*attempt, chunk),
            SessionEvent::AttemptEnded { attempt, end } => {
                if let AttemptEnd::Model(end) = end
                    && attempt.0 > 1
                {
                    let recomputed = u64::from(end.computed_tokens);
                    SessionCounters::add(&self.ports.counters.recomputed_tokens, recomputed);
                }
                self.release_attempt(*attempt, AttemptExit::Answered);
            }
            SessionEvent::AttemptFailed { attempt, error } => self.observe_failure(*attempt, error),
            _ => {}
        }
    }

    fn observe_chunk(&self, attempt: AttemptNumber, chunk: &TokenChunk) {
        if let Some(current) = &self.current
            && current.plan.attempt == attempt
            && chunk.offset == current.plan.resume_from
        {
            let now = self.ports.clock.now();
            lock(&self.ports.router).on_first_token(now, current.key, self.prompt_tokens);
            lock(&self.ports.suspects).on_answer_begun(now, self.request.id, &current.server);
        }
    }

    fn observe_failure(&mut self, attempt: AttemptNumber, error: &ServerError) {
        let Some(current) = self.current.as_ref().filter(|c| c.plan.attempt == attempt) else {
            return;
        };
        let (server, zone) = (current.server.clone(), current.zone.clone());
        let address = current.address;
        let now = self.ports.clock.now();
        let ended = matches!(error, ServerError::Lost(_)) && {
            let serves = self.ports.connector.probe(address) != ProbeResult::Refused;
            let request = self.request.id;
            lock(&self.ports.suspects).on_connection_lost(now, request, &server, &zone, serves)
        };
        if ended {
            SessionCounters::add(&self.ports.counters.ended_servers, 1);
            log::warn!("event=server_ended server={server} request={}", self.request.id);
        }
        if ended || matches!(error, ServerError::NotConnected(_)) {
            lock(&self.ports.router).set_state(now, &server, ServerState::Suspected);
        }
        self.release_attempt(attempt, AttemptExit::Stopped);
    }

    /// Releases the attempt's slot at its server; only the first call for an attempt has an effect.
    pub(super) fn release_attempt(&mut self, attempt: AttemptNumber, left: AttemptExit) {
        let Some(current) = self.current.take_if(|c| c.plan.attempt == attempt) else { return };
        let now = self.ports.clock.now();
        lock(&self.ports.router).on_ended(now, current.key);
        lock(&self.ports.suspects).end(now, self.request.id, &current.server, left);
        self.ports.registry.set_server(self.request.id, None);
    }

    pub(super) fn choose(&mut self, excluded: &[ServerKey]) -> SessionEvent {
        let now = self.ports.clock.now();
        let mut router = lock(&self.ports.router);
        let avoid = match self.place_suspect(&router, excluded) {
            SuspectPlacement::Free { avoid } => avoid,
            SuspectPlacement::Trial(server) => {
                let chosen = router.key_of(&server);
                return chosen.map_or(SessionEvent::ServersFull, SessionEvent::ServerChosen);
            }
            SuspectPlacement::Hold => return SessionEvent::ServersFull,
            SuspectPlacement::Refused => {
                SessionCounters::add(&self.ports.counters.crash_refusals, 1);
                return SessionEvent::Refused(ResultCode::CrashRefused);
            }
        };
        let mut all_excluded = excluded.to_vec();
        all_excluded.extend(avoid.iter().filter_map(|id| router.key_of(id)));
        let query = query_of(&self.request, &self.blocks, self.prompt_tokens, &all_excluded);
        match router.choose(now, &query) {
            RouteChoice::Server(server) => SessionEvent::ServerChosen(server),
            RouteChoice::Wait => SessionEvent::ServersFull,
            RouteChoice::NoServer if avoid.is_empty() => SessionEvent::NoServer,
            RouteChoice::NoServer => SessionEvent::ServersFull,
        }
    }

    /// Returns the placement of the request. Collects candidate servers only if any request is
    /// suspected of crashing servers.
    fn place_suspect(&self, router: &RequestRouter, excluded: &[ServerKey]) -> SuspectPlacement {
        let mut suspects = lock(&self.ports.suspects);
        if suspects.has_no_suspects() {
            return SuspectPlacement::Free { avoid: Vec::new() };
        }
        let usable = router.servers().filter(|(key, info)| {
            info.service == self.request.service.name
                && info.state == ServerState::Live
                && !excluded.contains(key)
        });
        let candidates: Vec<ServerId> = usable.map(|(_, info)| info.id.clone()).collect();
        let now = self.ports.clock.now();
        suspects.place(now, self.fingerprint, self.request.id, &candidates)
    }

    pub(super) fn start(&mut self, plan: AttemptPlan) {
        let now = self.ports.clock.now();
        let info = {
            let mut router = lock(&self.ports.router);
            let query = query_of(&self.request, &self.blocks, self.prompt_tokens, &[]);
            router.on_dispatched(now, plan.server, &query);
            router.server(plan.server).cloned()
        };
        let Some(info) = info else {
            let error = ServerError::NotConnected("the router no longer has the server".to_owned());
            let event = SessionEvent::AttemptFailed { attempt: plan.attempt, error };
            self.pending.push_back(event);
            return;
        };
        SessionCounters::add(&self.ports.counters.attempts, 1);
        log::info!(
            "event=attempt_started request={} attempt={} server={} resume_from={}",
            self.request.id,
            plan.attempt.0,
            info.id,
            plan.resume_from,
        );
        if plan.attempt.0 > 1 {
            SessionCounters::add(&self.ports.counters.retries, 1);
        }
        if plan.fresh_connection {
            self.ports.connector.retire(info.address);
        }
        lock(&self.ports.suspects).begin(now, self.fingerprint, self.request.id, &info.id);
        self.ports.registry.set_server(self.request.id, Some(plan.server));
        let target = AttemptTarget {
            server: info.id,
            zone: info.zone,
            address: info.address,
            silence_limit: self.silence_limit(now),
        };
        let text = self.session.stream().text();
        let connector = self.ports.connector.as_ref();
        let sender = self.sender.clone();
        self.current = Some(start_attempt(connector, &self.request, plan, text, target, sender));
    }

    /// Returns the reader's timeout, at most the time to the deadline. For idempotent requests it
    /// is twice the session's longer silence timeout, so that the reader of an abandoned attempt
    /// ends soon. Non-idempotent calls are waited for until their deadline.
    fn silence_limit(&self, now: Timestamp) -> Duration {
        let remaining = self.request.deadline.since(now).max(Duration::from_millis(1));
        let limits = SessionLimits::from(&self.request.service.latency_target);
        match self.request.idempotent {
            true => remaining.min(limits.first_token.max(limits.token_gap).saturating_mul(2)),
            false => remaining,
        }
    }

    /// Closes the attempt's connection and cancels it at the engine, which may not notice the close.
    pub(super) fn cancel(&mut self, attempt: AttemptNumber) {
        let Some(current) = self.current.as_ref().filter(|c| c.plan.attempt == attempt) else {
            return;
        };
        current.stop();
        if let RequestWork::Model { .. } = self.request.work {
            let engine = self.ports.connector.engine(current.address);
            let (request, server) = (self.request.id, current.server.clone());
            let cancel = move || {
                let begun_at = Instant::now();
                let outcome = engine.cancel(request, attempt);
                let elapsed = begun_at.elapsed().as_millis();
                match outcome {
                    Ok(()) => log::info!(
                        "event=attempt_cancelled request={request} attempt={} server={server} \
                         elapsed_ms={elapsed}",
                        attempt.0,
                    ),
                    Err(error) => log::warn!(
                        "event=cancel_failed request={request} attempt={} server={server} \
                         elapsed_ms={elapsed} error={error}",
                        attempt.0,
                    ),
                }
            };
            if let Err(error) = thread::Builder::new().name("cancel".to_owned()).spawn(cancel) {
                log::warn!(
                    "event=cancel_failed request={request} attempt={} server={} error={error}",
                    attempt.0,
                    current.server,
                );
            }
        }
        self.release_attempt(attempt, AttemptExit::Stopped);
    }

    pub(super) fn retire(&self, server: ServerKey) {
        SessionCounters::add(&self.ports.counters.retired_connections, 1);
        let address = lock(&self.ports.router).server(server).map(|info| info.address);
        if let Some(address) = address {
            self.ports.connector.retire(address);
        }
    }

    pub(super) fn suspect(&self, server: ServerKey) {
        SessionCounters::add(&self.ports.counters.suspected_servers, 1);
        let now = self.ports.clock.now();
        let mut router = lock(&self.ports.router);
        if let Some(id) = router.server(server).map(|info| info.id.clone()) {
            log::warn!("event=server_silent server={id} request={}", self.request.id);
            router.set_state(now, &id, ServerState::Suspected);
        }
    }
}

fn query_of<'a>(
    request: &'a CheckedRequest,
    blocks: &'a [BlockHash],
    prompt_tokens: u32,
    excluded: &'a [ServerKey],
) -> RouteQuery<'a> {
    RouteQuery { service: &request.service.name, blocks, prompt_tokens, excluded }
}
