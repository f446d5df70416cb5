//! Retries, silence timeouts, evacuation and giving up.

use std::time::Duration;

use super::RequestSession;
use super::RunningAttempt;
use super::SessionPhase;
use crate::engine::FinishReason;
use crate::engine::ServerError;
use crate::ids::AttemptNumber;
use crate::ids::ServerKey;
use crate::not_run::NotRunRefusal;
use crate::not_run::proves_not_run;
use crate::result_code::RequestOutcome;
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::session_event::EvacuationOrder;
use crate::session_event::MAX_BUDGET_WAIT;
use crate::session_event::RETRY_AFTER;
use crate::session_event::SessionAction;
use crate::session_event::SessionKind;
use crate::session_request::SessionEnd;
use crate::session_request::TokenUsage;
use crate::timestamp::Timestamp;

/// Interval between checks of the retry budget.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl RequestSession {
    pub(super) fn on_failure(
        &mut self,
        now: Timestamp,
        attempt: AttemptNumber,
        error: ServerError,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        self.ledger.observe(attempt, &error);
        let Some(running) = self.current(attempt) else { return Vec::new() };
        if matches!(error, ServerError::TimedOut(_)) && self.is_idempotent() && !running.probe {
            // The reader has ended, so the attempt cannot continue. Without budget for a probe, the
            // request is retried on another server once the budget allows.
            if budget.try_spend(now) {
                return self.probe(now, &running);
            }
        }
        if let Some(finish_reason) = self.reached_length() {
            let usage = TokenUsage {
                completion_tokens: self.stream.next_offset(),
                ..TokenUsage::default()
            };
            return self.finish(SessionEnd::ModelDone { finish_reason, usage });
        }
        if !self.is_idempotent() && !proves_not_run(&error) {
            return self.finish_unknown(lost_attempt_code(&error), None);
        }
        let silent = running.probe && matches!(error, ServerError::TimedOut(_));
        self.last_error = Some(error);
        let mut actions = Vec::new();
        if silent {
            actions.push(SessionAction::SuspectServer(running.server));
        }
        actions.extend(self.retry(now, running.server, budget));
        actions
    }

    /// Returns the finish reason if the answer has reached its maximum length.
    fn reached_length(&self) -> Option<FinishReason> {
        match self.kind {
            SessionKind::Model { max_tokens } if self.stream.next_offset() >= max_tokens => {
                Some(FinishReason::Length)
            }
            _ => None,
        }
    }

    /// Retries on another server, subject to the retry budget and the attempt limit unless the
    /// server's reclaim was announced.
    fn retry(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if self.reclaiming.contains(&server) {
            return self.choose();
        }
        if !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
        self.counted_attempts += 1;
        if self.counted_attempts >= self.limits.max_attempts {
            return self.give_up_retries();
        }
        self.retry_or_wait(now, now + MAX_BUDGET_WAIT, budget)
    }

    /// Takes a retry from the budget. If the budget is empty, a request that may have run waits for
    /// it: when a server ends, many requests are lost at once, and a waiting one occupies no
    /// server.
    fn retry_or_wait(
        &mut self,
        now: Timestamp,
        give_up_at: Timestamp,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if budget.try_spend(now) {
            return self.choose();
        }
        if now >= give_up_at || self.ledger.proof().is_some() {
            return self.give_up_retries();
        }
        let until = (now + BUDGET_POLL_INTERVAL).min(give_up_at);
        self.phase = SessionPhase::WaitingForBudget { until, give_up_at };
        Vec::new()
    }

    fn give_up_retries(&mut self) -> Vec<SessionAction> {
        let lost = match self.last_error {
            Some(ServerError::Malformed(_)) => ResultCode::BadServerAnswer,
            _ => ResultCode::AttemptsLost,
        };
        self.give_up(ResultCode::RetriesExhausted, lost, Some(RETRY_AFTER))
    }

    pub(super) fn on_timer(
        &mut self,
        now: Timestamp,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if now >= self.deadline {
            return self.give_up(ResultCode::DeadlineUnreachable, ResultCode::DeadlinePassed, None);
        }
        if self.is_idempotent()
            && self.caller_disconnected_since.is_some_and(|at| now >= at + self.limits.caller_grace)
        {
            return self.give_up(ResultCode::CallerGone, ResultCode::CallerLost, None);
        }
        match self.phase {
            SessionPhase::Waiting { until } if now >= until => self.choose(),
            SessionPhase::WaitingForBudget { until, give_up_at } if now >= until => {
                self.retry_or_wait(now, give_up_at, budget)
            }
            SessionPhase::Running(running)
                if self.is_idempotent() && now >= self.silence_deadline(&running) =>
            {
                self.on_silence(now, running, budget)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn silence_deadline(&self, running: &RunningAttempt) -> Timestamp {
        let limits = &self.limits;
        running.last_activity
            + if running.streaming { limits.token_gap } else { limits.first_token }
    }

    /// Probes the same server over a new connection once, then retries on another server.
    ///
    /// Without budget for a probe the attempt continues, as its connection is still open.
    fn on_silence(
        &mut self,
        now: Timestamp,
        running: RunningAttempt,
        budget: &mut RetryBudget,
    ) -> Vec<SessionAction> {
        if running.probe {
            let mut actions = vec![cancel(&running)];
            actions.push(SessionAction::SuspectServer(running.server));
            actions.extend(self.retry(now, running.server, budget));
            return actions;
        }
        if budget.try_spend(now) {
            return self.probe(now, &running);
        }
        self.phase = SessionPhase::Running(RunningAttempt { last_activity: now, ..running });
        Vec::new()
    }

    fn probe(&mut self, now: Timestamp, running: &RunningAttempt) -> Vec<SessionAction> {
        let mut actions = vec![cancel(running)];
        self.phase = SessionPhase::Choosing;
        actions.extend(self.start_attempt(now, running.server, true));
        actions
    }

    pub(super) fn on_caller_disconnected(&mut self, now: Timestamp) -> Vec<SessionAction> {
        if self.ledger.begun() == 0 {
            return self.give_up(ResultCode::CallerGone, ResultCode::CallerLost, None);
        }
        self.caller_disconnected_since.get_or_insert(now);
        Vec::new()
    }

    pub(super) fn on_evacuation(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        order: EvacuationOrder,
    ) -> Vec<SessionAction> {
        if !self.reclaiming.contains(&server) {
            self.reclaiming.push(server);
        }
        let running = match self.phase {
            SessionPhase::Running(running) if running.server == server => running,
            _ => return Vec::new(),
        };
        if !self.is_idempotent() || order == EvacuationOrder::FinishInPlace {
            return Vec::new();
        }
        let mut actions = vec![cancel(&running)];
        self.phase = SessionPhase::Choosing;
        actions.extend(match order {
            EvacuationOrder::ResumeAt(target) if !self.reclaiming.contains(&target) => {
                self.start_attempt(now, target, false)
            }
            _ => self.choose(),
        });
        actions
    }

    /// A peer answers from now on; the caller polls for the answer with the request's id.
    pub(super) fn on_handed_over(&mut self) -> Vec<SessionAction> {
        self.finish_unknown(ResultCode::StillRunning, Some(RETRY_AFTER))
    }

    /// Ends the session at once: NOT_RUN if the ledger proves it, UNKNOWN otherwise.
    pub(super) fn give_up(
        &mut self,
        not_run: ResultCode,
        unknown: ResultCode,
        retry_after: Option<Duration>,
    ) -> Vec<SessionAction> {
        let refusal = self.ledger.proof().and_then(|proof| NotRunRefusal::new(not_run, proof));
        match refusal {
            // A pending claim may still be won, but nothing is dispatched for it.
            Some(refusal) => self.finish(SessionEnd::NotRun { refusal, retry_after }),
            None => self.finish_unknown(unknown, retry_after),
        }
    }

    pub(super) fn finish_unknown(
        &mut self,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Vec<SessionAction> {
        let code = match code.outcome() {
            RequestOutcome::Unknown => code,
            _ => ResultCode::AttemptsLost,
        };
        self.finish(SessionEnd::Unknown { code, retry_after })
    }

    pub(super) fn finish(&mut self, end: SessionEnd) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let complete = end.code() == ResultCode::Complete;
        if let SessionPhase::Running(running) = self.phase
            && !complete
        {
            actions.push(cancel(&running));
        }
        self.phase = SessionPhase::Finished;
        actions.push(SessionAction::Finish(end));
        actions
    }
}

fn cancel(running: &RunningAttempt) -> SessionAction {
    SessionAction::CancelAttempt { attempt: running.number, server: running.server }
}

fn lost_attempt_code(error: &ServerError) -> ResultCode {
    match error {
        ServerError::Malformed(_) => ResultCode::BadServerAnswer,
        _ => ResultCode::ServerLost,
    }
}
