//! State machine of one accepted request, from its claim to its final answer.
//!
//! It does no I/O: the driver passes events in and carries out the actions in order. Rules:
//!
//! - Only the next offset of the current attempt is relayed.
//! - A failed model or idempotent request resumes on another server after the last relayed token.
//! - A non-idempotent call is sent again only if every earlier attempt provably did not run.
//! - A request that is given up ends at once.

mod recovery;

use crate::engine::GenerateEnd;
use crate::engine::ServerError;
use crate::engine::TokenChunk;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::ServerKey;
use crate::not_run::AttemptLedger;
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::session_claim::ClaimDecision;
use crate::session_event::AttemptEnd;
use crate::session_event::AttemptPlan;
use crate::session_event::RETRY_AFTER;
use crate::session_event::SERVER_POLL_INTERVAL;
use crate::session_event::SessionAction;
use crate::session_event::SessionEvent;
use crate::session_event::SessionKind;
use crate::session_event::SessionLimits;
use crate::session_request::SessionEnd;
use crate::session_request::TokenUsage;
use crate::session_stream::AnswerStream;
use crate::session_stream::ChunkOutcome;
use crate::timestamp::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RunningAttempt {
    number: AttemptNumber,
    server: ServerKey,
    /// Time of the last event from the server, or of the start.
    last_activity: Timestamp,
    /// Whether a token has arrived.
    streaming: bool,
    /// Whether it probes a new connection after an old one to the same server went silent.
    probe: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionPhase {
    New,
    Claiming,
    Choosing,
    Waiting {
        until: Timestamp,
    },
    /// The last attempt was lost, and the session waits for the retry budget.
    WaitingForBudget {
        until: Timestamp,
        give_up_at: Timestamp,
    },
    Running(RunningAttempt),
    Finished,
}

/// State of one accepted request.
#[derive(Clone, Debug)]
pub struct RequestSession {
    kind: SessionKind,
    limits: SessionLimits,
    deadline: Timestamp,
    phase: SessionPhase,
    stream: AnswerStream,
    ledger: AttemptLedger,
    last_attempt: AttemptNumber,
    /// Failed attempts that count against the limit.
    counted_attempts: u32,
    excluded: Vec<ServerKey>,
    /// Servers whose reclaim was announced; retries of attempts lost there are not limited.
    reclaiming: Vec<ServerKey>,
    /// Whether the request holds the claim of its key.
    claimed: bool,
    fence: Option<FencingToken>,
    caller_disconnected_since: Option<Timestamp>,
    last_error: Option<ServerError>,
}

impl RequestSession {
    /// Builds the session of a new request.
    pub fn new(kind: SessionKind, limits: SessionLimits, deadline: Timestamp) -> Self {
        Self {
            kind,
            limits,
            deadline,
            phase: SessionPhase::New,
            stream: AnswerStream::default(),
            ledger: AttemptLedger::default(),
            last_attempt: AttemptNumber::default(),
            counted_attempts: 0,
            excluded: Vec::new(),
            reclaiming: Vec::new(),
            claimed: false,
            fence: None,
            caller_disconnected_since: None,
            last_error: None,
        }
    }

    /// Continues a request that another host began, after the tokens that it relayed. That host's
    /// attempts have numbers up to `last_attempt`.
    ///
    /// The ledger has no entries for them, so `may_have_run` states whether any of them may have
    /// run.
    pub fn resume(
        mut self,
        stream: AnswerStream,
        last_attempt: AttemptNumber,
        may_have_run: bool,
    ) -> Self {
        self.stream = stream;
        self.last_attempt = last_attempt;
        if may_have_run {
            self.ledger.begin(last_attempt);
        }
        self
    }

    /// Sets a claim that was already won for the request.
    pub fn with_claim(mut self, fence: Option<FencingToken>) -> Self {
        self.claimed = true;
        self.fence = fence;
        self
    }

    /// Returns whether the request holds the claim of its key.
    pub fn is_claimed(&self) -> bool {
        self.claimed
    }

    /// Returns the fencing token of the claim.
    pub fn fence(&self) -> Option<FencingToken> {
        self.fence
    }

    /// Returns the relayed part of a model's answer.
    pub fn stream(&self) -> &AnswerStream {
        &self.stream
    }

    /// Returns the number of the last started attempt.
    pub fn last_attempt(&self) -> AttemptNumber {
        self.last_attempt
    }

    /// Returns the ledger of the attempts.
    pub fn ledger(&self) -> &AttemptLedger {
        &self.ledger
    }

    /// Returns the server of the current attempt.
    pub fn current_server(&self) -> Option<ServerKey> {
        match self.phase {
            SessionPhase::Running(running) => Some(running.server),
            _ => None,
        }
    }

    /// Returns whether the session has its final answer.
    pub fn is_finished(&self) -> bool {
        self.phase == SessionPhase::Finished
    }

    /// Returns when [`SessionEvent::Timer`] is due, unless another event comes earlier.
    pub fn next_timer(&self) -> Timestamp {
        let phase_timer = match self.phase {
            SessionPhase::Waiting { until } | SessionPhase::WaitingForBudget { until, .. } => until,
            SessionPhase::Running(running) if self.is_idempotent() => {
                self.silence_deadline(&running)
            }
            _ => self.deadline,
        };
        let grace_timer = match self.caller_disconnected_since {
            Some(since) if self.is_idempotent() => since + self.limits.caller_grace,
            _ => self.deadline,
        };
        phase_timer.min(grace_timer).min(self.deadline)
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        event: SessionEvent,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if self.is_finished() {
            return Vec::new();
        }
        match event {
            SessionEvent::Start => self.start(),
            SessionEvent::ClaimDecided(decision) => self.on_claim(decision),
            SessionEvent::ServerChosen(server) => self.start_attempt(now, server, false),
            SessionEvent::NoServer => self.on_no_server(now),
            SessionEvent::ServersFull => self.wait_for_server(now),
            SessionEvent::Refused(code) => self.give_up(code, code, None),
            SessionEvent::AttemptAccepted(attempt) => self.on_accepted(now, attempt),
            SessionEvent::Chunk { attempt, chunk } => self.on_chunk(now, attempt, chunk, budget),
            SessionEvent::AttemptEnded { attempt, end } => self.on_end(now, attempt, end, budget),
            SessionEvent::AttemptFailed { attempt, error } => {
                self.on_failure(now, attempt, error, budget)
            }
            SessionEvent::Timer => self.on_timer(now, budget),
            SessionEvent::CallerDisconnected => self.on_caller_disconnected(now),
            SessionEvent::CallerReconnected => {
                self.caller_disconnected_since = None;
                Vec::new()
            }
            SessionEvent::EvacuationOrdered { server, order } => {
                self.on_evacuation(now, server, order)
            }
            SessionEvent::HandoverTaken => self.on_handed_over(),
        }
    }

    fn is_idempotent(&self) -> bool {
        self.kind != SessionKind::NonIdempotentCall
    }

    fn start(&mut self) -> Vec<SessionAction> {
        if self.phase != SessionPhase::New {
            return Vec::new();
        }
        if self.is_idempotent() || self.claimed {
            return self.choose();
        }
        self.phase = SessionPhase::Claiming;
        vec![SessionAction::RequestClaim]
    }

    fn on_claim(&mut self, decision: ClaimDecision) -> Vec<SessionAction> {
        if self.phase != SessionPhase::Claiming {
            return Vec::new();
        }
        match decision {
            ClaimDecision::Won { fence } => {
                self.claimed = true;
                self.fence = fence;
                self.choose()
            }
            ClaimDecision::AnsweredBefore { answer: Some(answer), .. } => {
                self.finish(SessionEnd::AppDone(answer))
            }
            ClaimDecision::AnsweredBefore { answer: None, .. } => {
                self.finish_unknown(ResultCode::AnswerExpired, None)
            }
            ClaimDecision::RunningElsewhere { .. } => {
                self.finish_unknown(ResultCode::StillRunning, Some(RETRY_AFTER))
            }
            ClaimDecision::Unknown(code) => self.finish_unknown(code, Some(RETRY_AFTER)),
            ClaimDecision::NotRun(refusal) => {
                self.finish(SessionEnd::NotRun { refusal, retry_after: None })
            }
        }
    }

    fn choose(&mut self) -> Vec<SessionAction> {
        self.phase = SessionPhase::Choosing;
        let excluded = self.excluded.iter().chain(&self.reclaiming).copied().collect();
        vec![SessionAction::ChooseServer { excluded }]
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        probe: bool,
    ) -> Vec<SessionAction> {
        if self.phase != SessionPhase::Choosing {
            return Vec::new();
        }
        self.last_attempt = self.last_attempt.next();
        self.ledger.begin(self.last_attempt);
        self.stream.start_attempt();
        self.phase = SessionPhase::Running(RunningAttempt {
            number: self.last_attempt,
            server,
            last_activity: now,
            streaming: false,
            probe,
        });
        vec![SessionAction::StartAttempt(AttemptPlan {
            attempt: self.last_attempt,
            server,
            resume_from: self.stream.next_offset(),
            fresh_connection: probe,
            fence: self.fence,
        })]
    }

    /// A request that may have run waits for a server and may use one again that failed before. So
    /// does a request that was told of a reclaim. Any other request is refused at once.
    fn on_no_server(&mut self, now: Timestamp) -> Vec<SessionAction> {
        if self.reclaiming.is_empty() && self.ledger.proof().is_some() {
            let code = match self.ledger.begun() {
                0 => ResultCode::NoServer,
                _ => ResultCode::RetriesExhausted,
            };
            return self.give_up(code, ResultCode::AttemptsLost, Some(RETRY_AFTER));
        }
        self.excluded.clear();
        self.wait_for_server(now)
    }

    fn wait_for_server(&mut self, now: Timestamp) -> Vec<SessionAction> {
        if self.phase == SessionPhase::Choosing {
            self.phase = SessionPhase::Waiting { until: now + SERVER_POLL_INTERVAL };
        }
        Vec::new()
    }

    fn current(&self, attempt: AttemptNumber) -> Option<RunningAttempt> {
        match self.phase {
            SessionPhase::Running(running) if running.number == attempt => Some(running),
            _ => None,
        }
    }

    /// Records that the server accepted the attempt; only output proves that it makes progress.
    fn on_accepted(&mut self, now: Timestamp, attempt: AttemptNumber) -> Vec<SessionAction> {
        if let Some(running) = self.current(attempt) {
            self.phase = SessionPhase::Running(RunningAttempt { last_activity: now, ..running });
        }
        Vec::new()
    }

    /// Records output; output of a probe proves that the old connections are dead.
    fn on_output(&mut self, now: Timestamp, attempt: AttemptNumber) -> Vec<SessionAction> {
        let Some(running) = self.current(attempt) else { return Vec::new() };
        let updated =
            RunningAttempt { last_activity: now, streaming: true, probe: false, ..running };
        self.phase = SessionPhase::Running(updated);
        match running.probe {
            true => vec![SessionAction::RetireConnections(running.server)],
            false => Vec::new(),
        }
    }

    fn on_chunk(
        &mut self,
        now: Timestamp,
        attempt: AttemptNumber,
        chunk: TokenChunk,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        let mut actions = self.on_output(now, attempt);
        if self.current(attempt).is_none() {
            return actions;
        }
        match self.stream.accept(chunk) {
            ChunkOutcome::Ready(ready) => {
                actions.extend(ready.into_iter().map(SessionAction::Relay))
            }
            ChunkOutcome::Duplicate | ChunkOutcome::Buffered => {}
            ChunkOutcome::Overflow => {
                let error = ServerError::Malformed("tokens are missing".to_owned());
                actions.extend(self.on_failure(now, attempt, error, budget));
            }
        }
        actions
    }

    fn on_end(
        &mut self,
        now: Timestamp,
        attempt: AttemptNumber,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if self.current(attempt).is_none() {
            return Vec::new();
        }
        let mut actions = self.on_output(now, attempt);
        let is_model = matches!(self.kind, SessionKind::Model { .. });
        actions.extend(match end {
            AttemptEnd::App(answer) if !is_model => self.finish(SessionEnd::AppDone(answer)),
            AttemptEnd::Model(end) if is_model && end.end_offset == self.stream.next_offset() => {
                self.finish_model(&end)
            }
            AttemptEnd::App(_) | AttemptEnd::Model(_) => {
                let error = ServerError::Malformed("end does not fit the answer".to_owned());
                self.on_failure(now, attempt, error, budget)
            }
        });
        actions
    }

    fn finish_model(&mut self, end: &GenerateEnd) -> Vec<SessionAction> {
        let usage = TokenUsage {
            prompt_tokens: end.prompt_tokens,
            completion_tokens: self.stream.next_offset(),
            cached_tokens: end.cached_tokens,
            computed_tokens: end.computed_tokens,
        };
        self.finish(SessionEnd::ModelDone { finish_reason: end.finish_reason, usage })
    }
}
