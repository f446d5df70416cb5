//! Attempts of one request that are in flight at the same time.
//!
//! Load pattern: a sound server sends nothing for a while and goes on. Its attempt is never given up
//! before another server has answered: a hedged attempt runs beside it, and the first one with an
//! answer, or with the next event of a stream, is kept. Without a second server, or with an empty retry budget, the first attempt goes on alone.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::PlacedServer;
use crate::gateway::accepted_request::place_request;
use crate::gateway::accepted_request::record_health;
use crate::gateway::attempt_plan::AttemptPlan;
use crate::gateway::attempt_progress::AttemptProgress;
use crate::gateway::attempt_progress::StageGap;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::retry_limiter::RetryPurpose;
use crate::gateway::rollout::answer_tally::AnswerOutcome;
use crate::gateway::rollout::rollout_keeper::record_answer;
use crate::gateway::server_attempt::AttemptOutcome;
use crate::gateway::server_attempt::ServerAttempt;
use crate::gateway::server_attempt::await_first_event;
use crate::gateway::server_attempt::send_attempt;
use crate::gateway::server_health::HealthEvidence;
use crate::ids::ServerKey;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// An attempt without an outcome yet.
struct RunningAttempt {
    key: ServerKey,
    version: SoftwareVersion,
    progress: AttemptProgress,
    /// Whether its server has been silent for longer than expected.
    is_silent: bool,
    outcome: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
}

/// What happened to the attempts in flight.
pub enum RaceEvent {
    /// An attempt ended.
    Ended(ServerKey, AttemptOutcome),
    /// No attempt ended within the time limit.
    Silent,
}

/// Whether a hedged attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeOutcome {
    /// It was.
    Started,
    /// The plan, the retry budget or the servers do not allow one now.
    Denied,
}

/// The attempts of one request in flight. Dropping an attempt closes its connection.
pub struct AttemptRace<W> {
    state: Rc<GatewayState>,
    wire: Rc<W>,
    request: Rc<AcceptedRequest>,
    running: Vec<RunningAttempt>,
}

impl<W: WireProtocol + 'static> AttemptRace<W> {
    /// Builds a race without attempts.
    pub fn new(state: Rc<GatewayState>, wire: Rc<W>, request: Rc<AcceptedRequest>) -> Self {
        Self { state, wire, request, running: Vec::new() }
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether the attempts in flight are silent.
    pub fn is_silent(&self) -> bool {
        !self.running.is_empty() && self.running.iter().all(|attempt| attempt.is_silent)
    }

    /// Sends an attempt; returns whether its server was still in the directory.
    pub fn start(
        &mut self,
        placed: PlacedServer,
        deadline: Timestamp,
        resume_after: Option<u64>,
    ) -> bool {
        let Some(attempt) = ServerAttempt::start(&self.state, &self.request, placed, resume_after)
        else {
            return false;
        };
        let (version, progress) = (attempt.version().clone(), attempt.progress().clone());
        let (wire, request) = (self.wire.clone(), self.request.clone());
        let outcome = Box::pin(async move {
            send_attempt(&*wire, attempt, &request, resume_after, deadline).await
        });
        let key = placed.key;
        self.running.push(RunningAttempt { key, version, progress, is_silent: false, outcome });
        true
    }

    /// Sends a hedged attempt, which ends only with the first event of a stream: its head alone does
    /// not show that the server goes on.
    fn start_hedge(
        &mut self,
        placed: PlacedServer,
        plan: &AttemptPlan,
        after: Option<u64>,
    ) -> bool {
        if !self.start(placed, plan.deadline(), after) {
            return false;
        }
        let Some(attempt) = self.running.pop() else { return false };
        let RunningAttempt { key, version, progress, is_silent, outcome } = attempt;
        let (state, request) = (self.state.clone(), self.request.clone());
        let deadline = plan.deadline();
        let outcome = Box::pin(async move {
            match outcome.await {
                AttemptOutcome::Stream(stream) => {
                    await_first_event(&state, &request, *stream, after, deadline).await
                }
                outcome => outcome,
            }
        });
        log::info!(
            "event=hedge_started request={} server={}",
            self.request.head.request_id,
            server_label(&self.state, key),
        );
        self.running.push(RunningAttempt { key, version, progress, is_silent, outcome });
        true
    }

    /// Starts a hedged attempt beside those that are silent, `open` and those in flight, if the plan,
    /// the retry budget and the servers allow one.
    pub fn hedge(
        &mut self,
        plan: &mut AttemptPlan,
        open: Option<ServerKey>,
        resume_after: Option<u64>,
    ) -> HedgeOutcome {
        let now = self.state.now();
        if !plan.may_hedge(now) || self.state.crashes.borrow().is_refused(&self.request.work) {
            return HedgeOutcome::Denied;
        }
        let in_flight = self.running.iter().map(|attempt| attempt.key);
        let excluded: Vec<ServerKey> =
            plan.tried().iter().copied().chain(open).chain(in_flight).collect();
        let Ok(placed) = place_request(&self.state, now, &self.request, &excluded) else {
            return HedgeOutcome::Denied;
        };
        if !self.state.try_retry(now, &self.request.service, RetryPurpose::Hedge)
            || !self.start_hedge(placed, plan, resume_after)
        {
            return HedgeOutcome::Denied;
        }
        plan.on_hedge_started();
        HedgeOutcome::Started
    }

    /// Waits until an attempt ends, for at most `limit` if there is one.
    pub async fn next(&mut self, limit: Option<Duration>) -> RaceEvent {
        let ended = poll_fn(|context| {
            for index in 0..self.running.len() {
                if let Poll::Ready(outcome) = self.running[index].outcome.as_mut().poll(context) {
                    let attempt = self.running.swap_remove(index);
                    return Poll::Ready(RaceEvent::Ended(attempt.key, outcome));
                }
            }
            Poll::Pending
        });
        match limit {
            None => ended.await,
            Some(limit) => match tokio::time::timeout(limit, ended).await {
                Ok(event) => event,
                Err(_) => {
                    self.record_silence(limit);
                    RaceEvent::Silent
                }
            },
        }
    }

    /// Drops the attempts in flight, after another one answered.
    pub fn drop_rest(&mut self, plan: &mut AttemptPlan, kept: &AttemptProgress) {
        for attempt in self.running.drain(..) {
            log_dropped(
                &self.state,
                &self.request,
                (attempt.key, &attempt.progress),
                kept,
                DropReason::OtherAnswered,
            );
            plan.on_hedge_dropped(attempt.key);
        }
    }

    /// Records silence as evidence of the servers' health, once for each attempt.
    fn record_silence(&mut self, limit: Duration) {
        for attempt in self.running.iter_mut().filter(|attempt| !attempt.is_silent) {
            attempt.is_silent = true;
            record_silent_server(&self.state, &self.request, attempt.key, limit);
            let answer = AnswerOutcome::Failed;
            record_answer(&self.state, &self.request, &attempt.version, answer);
        }
    }
}

/// Why an attempt without an outcome is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Another attempt at the same request answered.
    OtherAnswered,
}

/// Records that an attempt is dropped while another one is kept.
pub fn record_dropped(
    state: &GatewayState,
    request: &AcceptedRequest,
    dropped: &ServerAttempt,
    kept: &AttemptProgress,
    reason: DropReason,
) {
    log_dropped(state, request, (dropped.key, dropped.progress()), kept, reason);
}

fn log_dropped(
    state: &GatewayState,
    request: &AcceptedRequest,
    (key, progress): (ServerKey, &AttemptProgress),
    kept: &AttemptProgress,
    reason: DropReason,
) {
    let (now, stages) = (state.now(), progress.stages());
    let overlap = stages.overlap(&kept.stages(), now);
    let service = [request.service.as_str()];
    let overlaps = state.metrics.stream_overlap.with_label_values(&service);
    overlaps.observe(overlap.as_secs_f64());
    log::info!(
        "event=attempt_dropped request={} server={} reason={reason:?} sent_ms={} head_ms={} \
         overlap_ms={}",
        request.head.request_id,
        server_label(state, key),
        StageGap(stages.sent_at, Some(now)),
        StageGap(stages.head_at, Some(now)),
        overlap.as_millis(),
    );
}

/// Returns the identifier of a server, also of one that has left the directory.
fn server_label(state: &GatewayState, key: ServerKey) -> String {
    let directory = state.directory.borrow();
    directory.get(key).map_or("gone".to_owned(), |server| server.entry.id.to_string())
}

/// Records that a server sent nothing for `silence`, as evidence of its health.
pub fn record_silent_server(
    state: &GatewayState,
    request: &AcceptedRequest,
    key: ServerKey,
    silence: Duration,
) {
    state.metrics.attempts.with_label_values(&["Silent"]).inc();
    log::info!(
        "event=attempt_silent request={} server={} silent_ms={}",
        request.head.request_id,
        server_label(state, key),
        silence.as_millis(),
    );
    record_health(state, key, HealthEvidence::Failed);
}
