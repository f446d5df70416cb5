//! Run of one attempt in the engine stand-in: queueing, prefill, decode and end.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::GenerateEnd;
use pomelostack_lib::engine::GenerateRequest;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::engine_client::EngineLine;

use crate::engine_answer::CRASH_MARKER;
use crate::engine_answer::answer_length;
use crate::engine_answer::answer_token;
use crate::engine_answer::natural_length;
use crate::engine_core::AttemptKey;
use crate::engine_core::PrefillPlan;
use crate::engine_core::QueueOutcome;
use crate::engine_standin::EngineShared;
use crate::engine_standin::refuse_before_run;
use crate::http_standin::HttpExchange;
use crate::http_standin::LineStream;
use crate::journal::RunOutcome;
use crate::process_lifecycle::ProcessIncarnation;
use crate::process_lifecycle::WaitOutcome;

/// Reason for which a run ended before its answer was complete.
enum StopReason {
    /// The process crashed; the journal records no end.
    Crashed,
    /// The attempt was cancelled.
    Cancelled,
    /// The client closed the connection.
    ClientGone,
}

impl From<io::Error> for StopReason {
    fn from(_: io::Error) -> Self {
        Self::ClientGone
    }
}

/// Whether an engine accepts a request.
enum Admission {
    /// The attempt is queued or in the batch.
    Queued,
    /// The attempt did not run and will not run: HTTP status and reason.
    Refused(u16, &'static str),
    /// The same attempt is queued or running, so the refusal cannot promise that it did not run.
    Duplicate,
}

type Result<T> = std::result::Result<T, StopReason>;

/// Run of one attempt.
pub(crate) struct EngineRun {
    shared: Arc<EngineShared>,
    request: GenerateRequest,
    key: AttemptKey,
    life: ProcessIncarnation,
}

impl EngineRun {
    /// Creates the run of a request.
    pub(crate) fn new(shared: Arc<EngineShared>, request: GenerateRequest) -> Self {
        let key = (request.request, request.attempt);
        let life = shared.life.incarnation();
        Self { shared, request, key, life }
    }

    /// Runs the attempt and streams its answer to the client.
    pub(crate) fn serve(self, exchange: HttpExchange) {
        match self.admit() {
            Admission::Queued => {}
            Admission::Refused(status, reason) => {
                return refuse_before_run(exchange, status, reason);
            }
            Admission::Duplicate => return exchange.refuse(409, "attempt is here already"),
        }
        let (id, attempt) = (self.request.request.to_string(), self.request.attempt.0);
        let run = self.shared.journal.begin(None, id, attempt, &self.request.model);
        let is_open = exchange.open_check();
        let outcome = self.run(exchange.into_lines(), &is_open);
        let outcome = match outcome {
            Ok(()) => RunOutcome::Done,
            Err(StopReason::Cancelled) => RunOutcome::Cancelled,
            Err(StopReason::ClientGone) => RunOutcome::ClientGone,
            Err(StopReason::Crashed) => return,
        };
        let filled = self.shared.lock().remove(Instant::now(), self.key);
        if filled {
            self.shared.life.wake();
        }
        self.shared.journal.end(run, outcome);
    }

    /// Queues the request or refuses it.
    fn admit(&self) -> Admission {
        let mut core = self.shared.lock();
        if core.refusing {
            return Admission::Refused(503, "engine takes no work");
        }
        if !core.serves(&self.request.model) {
            return Admission::Refused(503, "model is not loaded");
        }
        let text = format!("{}{}", self.request.prompt, self.request.generated);
        match core.enqueue(Instant::now(), self.key, self.request.priority.0, text) {
            QueueOutcome::Queued => Admission::Queued,
            QueueOutcome::QueueFull => Admission::Refused(429, "queue is full"),
            QueueOutcome::Duplicate => Admission::Duplicate,
        }
    }

    fn run(&self, mut lines: LineStream, is_open: &dyn Fn() -> bool) -> Result<()> {
        lines.push(&EngineLine::Accepted)?;
        self.wait_for_batch_slot(&mut lines, is_open)?;
        if self.request.prompt.contains(CRASH_MARKER) {
            lines.flush()?;
            self.shared.crash(self.shared.settings.restart_after);
            return Err(StopReason::Crashed);
        }
        let plan = self.prefill(&mut lines, is_open)?;
        let end_offset = self.decode(&mut lines, is_open)?;
        self.wait(None, is_open, || !self.shared.lock().muted)?;
        lines.push(&EngineLine::End(self.end(plan, end_offset)))?;
        Ok(lines.finish()?)
    }

    fn wait_for_batch_slot(
        &self,
        lines: &mut LineStream,
        is_open: &dyn Fn() -> bool,
    ) -> Result<()> {
        let is_running = || self.shared.lock().is_running(self.key);
        if is_running() {
            return Ok(());
        }
        self.flush(lines)?;
        self.wait(None, is_open, is_running)
    }

    fn prefill(&self, lines: &mut LineStream, is_open: &dyn Fn() -> bool) -> Result<PrefillPlan> {
        let plan = self.shared.lock().plan_prefill(Instant::now(), self.key);
        let plan = plan.ok_or(StopReason::Crashed)?;
        self.pause_until(plan.ready_at, lines, is_open)?;
        self.shared.lock().store_attempt(Instant::now(), self.key);
        Ok(plan)
    }

    /// Streams the tokens from the resume offset on. Returns the offset after the last one.
    fn decode(&self, lines: &mut LineStream, is_open: &dyn Fn() -> bool) -> Result<u32> {
        let (model, prompt) = (&self.request.model, &self.request.prompt);
        let end = answer_length(model, prompt, self.request.max_tokens);
        let mut step_end = Instant::now();
        for offset in self.request.resume_from..end {
            step_end += self.step_time();
            self.pause_until(step_end, lines, is_open)?;
            let token = answer_token(model, prompt, offset);
            self.shared.lock().append_output(self.key, &token);
            lines.push(&EngineLine::Token(TokenChunk { offset, text: token }))?;
        }
        self.shared.lock().store_attempt(Instant::now(), self.key);
        Ok(end.max(self.request.resume_from))
    }

    fn step_time(&self) -> std::time::Duration {
        let core = self.shared.lock();
        let others = u32::try_from(core.running().saturating_sub(1)).unwrap_or(u32::MAX);
        let settings = &self.shared.settings;
        settings.decode_step + settings.decode_step_slope * others + core.extra_step
    }

    /// Flushes buffered lines and waits until `moment`. If it has passed, flushes nothing and does
    /// not wait, but still reports a crash, a cancellation or a closed connection.
    fn pause_until(
        &self,
        moment: Instant,
        lines: &mut LineStream,
        is_open: &dyn Fn() -> bool,
    ) -> Result<()> {
        if moment > Instant::now() {
            self.flush(lines)?;
        }
        self.wait(Some(moment), is_open, || false)
    }

    /// Sends the buffered lines, unless the engine is muted.
    fn flush(&self, lines: &mut LineStream) -> Result<()> {
        if self.shared.lock().muted {
            return Ok(());
        }
        Ok(lines.flush()?)
    }

    fn wait(
        &self,
        deadline: Option<Instant>,
        is_open: &dyn Fn() -> bool,
        mut ready: impl FnMut() -> bool,
    ) -> Result<()> {
        let mut stop = None;
        let end = self.shared.life.wait(self.life, deadline, || {
            if self.shared.lock().is_cancelled(self.key) {
                stop = Some(StopReason::Cancelled);
            } else if !is_open() {
                stop = Some(StopReason::ClientGone);
            }
            stop.is_some() || ready()
        });
        match (end, stop) {
            (WaitOutcome::Crashed, _) => Err(StopReason::Crashed),
            (_, Some(stop)) => Err(stop),
            (WaitOutcome::Ready | WaitOutcome::Elapsed, None) => Ok(()),
        }
    }

    fn end(&self, plan: PrefillPlan, end_offset: u32) -> GenerateEnd {
        let natural = natural_length(&self.request.model, &self.request.prompt);
        let finish_reason = match natural > self.request.max_tokens {
            true => FinishReason::Length,
            false => FinishReason::Stop,
        };
        GenerateEnd {
            finish_reason,
            end_offset,
            prompt_tokens: plan.cached_tokens + plan.computed_tokens,
            cached_tokens: plan.cached_tokens,
            computed_tokens: plan.computed_tokens,
        }
    }
}
