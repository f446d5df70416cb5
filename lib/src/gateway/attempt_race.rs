//! Attempts of one request that are in flight at the same time.
//!
//! Load pattern: a sound server sends nothing for a while and goes on. A hedged attempt runs beside it, and
//! the first one with an answer, or with the next event of a stream, is kept. Without a second server, or with an
//! empty retry budget, the first attempt goes on alone.
//!
//! Two servers must not work on one stream for long, and nothing shows when a server begins. A stream therefore
//! moves: soon after the hedged attempt was sent, the first one is dropped. If the second server is silent, too,
//! the first one is tried again beside it for as short a time.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

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
use crate::gateway::server_attempt::ErrorBody;
use crate::gateway::server_attempt::ServerAttempt;
use crate::gateway::server_attempt::await_first_event;
use crate::gateway::server_attempt::is_own_failure;
use crate::gateway::server_attempt::send_attempt;
use crate::gateway::server_health::HealthEvidence;
use crate::ids::ServerKey;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time from the sending of a hedged attempt at a stream after which one of the two attempts is dropped. Less
/// than the time for which two servers may work on a stream by the time in which a host acts and a close arrives.
const MAX_SHARED_TIME: Duration = Duration::from_millis(250);

/// Time from the head of a stream that moved until it counts as silent if no event came. Longer than sound
/// servers pause.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_250);

/// What happens to an attempt beside another one after [`MAX_SHARED_TIME`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptRole {
    /// Nothing.
    Plain,
    /// The stream moves to it: the other attempt is dropped.
    Move,
    /// It is dropped: its server was silent before.
    Trial,
}

/// An attempt without an outcome yet.
struct RunningAttempt {
    key: ServerKey,
    version: SoftwareVersion,
    progress: AttemptProgress,
    role: AttemptRole,
    /// Whether its server has been silent for longer than expected.
    is_silent: bool,
    outcome: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
}

/// What happened to the attempts in flight.
pub enum RaceEvent {
    /// An attempt ended.
    Ended(ServerKey, AttemptOutcome),
    /// The stream moved to its hedged attempt. The other one was dropped if it was in flight, and the stream
    /// that is relayed must be.
    Moved(Option<ServerKey>),
    /// A trial at an earlier server was dropped.
    TrialEnded,
    /// No attempt ended within the time limit.
    Silent,
}

/// What polling the attempts in flight found.
enum RacePoll {
    /// An attempt ended.
    Ended(ServerKey, AttemptOutcome),
    /// The time changed at which an attempt is dropped beside another one.
    DueChanged,
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
    /// Whether a stream is relayed beside the attempts in flight.
    is_relaying: bool,
    error_body: ErrorBody,
    /// When silence was reported last.
    silent_at: Timestamp,
}

impl<W: WireProtocol + 'static> AttemptRace<W> {
    /// Builds a race without attempts.
    pub fn new(state: Rc<GatewayState>, wire: Rc<W>, request: Rc<AcceptedRequest>) -> Self {
        let silent_at = Timestamp::default();
        Self {
            state,
            wire,
            request,
            running: Vec::new(),
            is_relaying: false,
            error_body: ErrorBody::Read,
            silent_at,
        }
    }

    /// Sets that the errors of servers are no answers for the caller any more.
    pub fn skip_error_bodies(&mut self) {
        self.error_body = ErrorBody::Skip;
    }

    /// Sets whether a stream is relayed beside the attempts in flight.
    pub fn set_relaying(&mut self, is_relaying: bool) {
        self.is_relaying = is_relaying;
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
        self.send(placed, deadline, resume_after, self.error_body)
    }

    fn send(
        &mut self,
        placed: PlacedServer,
        deadline: Timestamp,
        resume_after: Option<u64>,
        error_body: ErrorBody,
    ) -> bool {
        let Some(attempt) = ServerAttempt::start(&self.state, &self.request, placed, resume_after)
        else {
            return false;
        };
        let (version, progress) = (attempt.version().clone(), attempt.progress().clone());
        let (wire, request) = (self.wire.clone(), self.request.clone());
        let outcome = Box::pin(async move {
            send_attempt(&*wire, attempt, &request, resume_after, error_body, deadline).await
        });
        let key = placed.key;
        let role = AttemptRole::Plain;
        let attempt = RunningAttempt { key, version, progress, role, is_silent: false, outcome };
        self.running.push(attempt);
        true
    }

    /// Sends a hedged attempt, which ends only with the first event of a stream: its head alone does
    /// not show that the server goes on.
    fn start_hedge(
        &mut self,
        placed: PlacedServer,
        role: AttemptRole,
        plan: &AttemptPlan,
        after: Option<u64>,
    ) -> bool {
        // A stream does not move to a server that fails, however long the body of its error takes.
        let error_body = match self.request.route.kind.is_stream() {
            true => ErrorBody::Skip,
            false => self.error_body,
        };
        if !self.send(placed, plan.deadline(), after, error_body) {
            return false;
        }
        let Some(attempt) = self.running.pop() else { return false };
        let RunningAttempt { key, version, progress, is_silent, outcome, .. } = attempt;
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
            "event=hedge_started request={} server={} role={role:?}",
            self.request.head.request_id,
            self.state.server_label(key),
        );
        self.running.iter_mut().for_each(|attempt| attempt.role = AttemptRole::Plain);
        let attempt = RunningAttempt { key, version, progress, role, is_silent, outcome };
        self.running.push(attempt);
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
        if self.state.crashes.borrow().is_refused(&self.request.work) {
            return HedgeOutcome::Denied;
        }
        let Some((placed, role)) = self.choose_hedge(now, plan, open) else {
            return HedgeOutcome::Denied;
        };
        let purpose = match role {
            AttemptRole::Plain | AttemptRole::Move => RetryPurpose::Hedge,
            // The server that the stream moved to failed to begin.
            AttemptRole::Trial => RetryPurpose::Failure,
        };
        if !self.state.try_retry(now, &self.request.service, purpose)
            || !self.start_hedge(placed, role, plan, resume_after)
        {
            return HedgeOutcome::Denied;
        }
        if role == AttemptRole::Trial {
            plan.on_returned(now);
        }
        plan.on_hedge_started();
        HedgeOutcome::Started
    }

    /// Selects a server that was not tried, or else one at which a stream was given up.
    fn choose_hedge(
        &self,
        now: Timestamp,
        plan: &AttemptPlan,
        open: Option<ServerKey>,
    ) -> Option<(PlacedServer, AttemptRole)> {
        let in_use = self.running.iter().map(|attempt| attempt.key).chain(open);
        let in_use: Vec<ServerKey> = in_use.collect();
        if plan.may_hedge(now) {
            let excluded = [plan.tried(), &in_use].concat();
            if let Ok(placed) = place_request(&self.state, now, &self.request, &excluded) {
                let is_stream = self.request.route.kind.is_stream();
                let role = if is_stream { AttemptRole::Move } else { AttemptRole::Plain };
                return Some((placed, role));
            }
        }
        let earlier = plan.trial_server(now).filter(|key| !in_use.contains(key))?;
        Some((self.place_at(now, earlier)?, AttemptRole::Trial))
    }

    /// Goes back to a server at which the stream was given up, with no attempt in flight; returns whether the
    /// plan, the retry budget and the server allow it.
    pub fn start_return(&mut self, plan: &mut AttemptPlan, resume_after: Option<u64>) -> bool {
        let now = self.state.now();
        let earlier = plan.return_server(now);
        let Some(placed) = earlier.and_then(|key| self.place_at(now, key)) else { return false };
        let is_started = self.state.try_retry(now, &self.request.service, RetryPurpose::Failure)
            && self.start(placed, plan.deadline(), resume_after);
        if is_started {
            plan.on_returned(now);
        }
        is_started
    }

    /// Selects a given server, if the request may be sent there.
    fn place_at(&self, now: Timestamp, key: ServerKey) -> Option<PlacedServer> {
        let directory = self.state.directory.borrow();
        let servers = directory.of_service(&self.request.service).map(|(key, _)| key);
        let others: Vec<ServerKey> = servers.filter(|other| *other != key).collect();
        drop(directory);
        let placed = place_request(&self.state, now, &self.request, &others).ok()?;
        (placed.key == key).then_some(placed)
    }

    /// Waits until an attempt ends or is dropped, for at most `limit` if there is one.
    pub async fn next(&mut self, limit: Option<Duration>) -> RaceEvent {
        let limit = limit.map(|limit| self.silence_left(limit));
        let silent_at = limit.map(|limit| Instant::now() + limit);
        loop {
            let drop_at = self.drop_due();
            let wakes = [drop_at, silent_at].into_iter().flatten();
            let polled = poll_fn(|context| self.poll_attempts(context, drop_at));
            let polled = match wakes.min() {
                Some(wake) => timeout_at(wake, polled).await.ok(),
                None => Some(polled.await),
            };
            match polled {
                Some(RacePoll::Ended(key, outcome)) => return RaceEvent::Ended(key, outcome),
                Some(RacePoll::DueChanged) => {}
                None if drop_at.is_some_and(|at| at <= Instant::now()) => {
                    if let Some(event) = self.drop_due_attempt() {
                        return event;
                    }
                }
                None => {
                    self.record_silence(limit.unwrap_or_default());
                    return RaceEvent::Silent;
                }
            }
        }
    }

    fn poll_attempts(
        &mut self,
        context: &mut Context<'_>,
        drop_at: Option<Instant>,
    ) -> Poll<RacePoll> {
        for index in 0..self.running.len() {
            if let Poll::Ready(outcome) = self.running[index].outcome.as_mut().poll(context) {
                let attempt = self.running.swap_remove(index);
                return Poll::Ready(RacePoll::Ended(attempt.key, outcome));
            }
        }
        match self.drop_due() == drop_at {
            true => Poll::Pending,
            false => Poll::Ready(RacePoll::DueChanged),
        }
    }

    /// Returns the time left until silence is reported.
    fn silence_left(&self, limit: Duration) -> Duration {
        let plain = self.running.iter().filter(|attempt| attempt.role == AttemptRole::Plain);
        let begun_at = plain.filter_map(|attempt| attempt.progress.stages().head_at).max();
        let now = self.state.now();
        begun_at.map_or(limit, |at| {
            let due = at.max(self.silent_at) + FIRST_EVENT_LIMIT;
            limit.min(due.since(now))
        })
    }

    /// Returns the attempt whose time beside another one is limited, and when it is over.
    fn due_attempt(&self) -> Option<(usize, Timestamp)> {
        if !self.is_relaying && self.running.len() < 2 {
            return None;
        }
        let index = self.running.iter().position(|attempt| attempt.role != AttemptRole::Plain)?;
        let sent_at = self.running[index].progress.stages().sent_at?;
        Some((index, sent_at + MAX_SHARED_TIME))
    }

    /// Returns when an attempt is dropped because two servers must not work on the stream any longer.
    fn drop_due(&self) -> Option<Instant> {
        let (_, due) = self.due_attempt()?;
        Some(self.state.instant_of(due))
    }

    /// Drops one of two attempts whose time side by side is over.
    fn drop_due_attempt(&mut self) -> Option<RaceEvent> {
        let (index, _) = self.due_attempt()?;
        match self.running[index].role {
            AttemptRole::Plain => None,
            AttemptRole::Move => {
                self.running[index].role = AttemptRole::Plain;
                let kept = self.running[index].progress.clone();
                let other = (0..self.running.len()).find(|other| *other != index);
                let dropped = other.map(|other| self.running.swap_remove(other));
                Some(RaceEvent::Moved(dropped.map(|attempt| {
                    self.log_dropped(&attempt, &kept, DropReason::Moved);
                    attempt.key
                })))
            }
            AttemptRole::Trial => {
                let trial = self.running.swap_remove(index);
                let kept = self.running.first().map(|attempt| attempt.progress.clone());
                self.log_dropped(&trial, &kept.unwrap_or_default(), DropReason::TrialEnded);
                Some(RaceEvent::TrialEnded)
            }
        }
    }

    /// Records that the stream that is relayed is given up, since it moved to the attempt in flight.
    pub fn record_moved(&self, relayed: &ServerAttempt) {
        let kept = self.running.first().map(|attempt| attempt.progress.clone());
        let (kept, reason) = (kept.unwrap_or_default(), DropReason::Moved);
        record_dropped(&self.state, &self.request, relayed, &kept, reason);
    }

    fn log_dropped(&self, dropped: &RunningAttempt, kept: &AttemptProgress, reason: DropReason) {
        let dropped = (dropped.key, &dropped.progress);
        log_dropped(&self.state, &self.request, dropped, kept, reason);
    }

    /// Drops the attempts in flight, after another one answered.
    pub fn drop_rest(&mut self, plan: &mut AttemptPlan, kept: &AttemptProgress) {
        for attempt in std::mem::take(&mut self.running) {
            self.log_dropped(&attempt, kept, DropReason::OtherAnswered);
            plan.on_hedge_dropped(attempt.key);
        }
    }

    /// Records silence as evidence of the servers' health, once for each attempt.
    fn record_silence(&mut self, limit: Duration) {
        self.silent_at = self.state.now();
        for attempt in self.running.iter_mut().filter(|attempt| !attempt.is_silent) {
            attempt.is_silent = true;
            let (state, request, progress) = (&self.state, &self.request, &attempt.progress);
            record_silent_server(state, request, attempt.key, progress, limit);
            if !is_own_failure(state, attempt.key, &request.service, progress) {
                record_answer(state, request, &attempt.version, AnswerOutcome::Failed);
            }
        }
    }
}

/// Why an attempt without an outcome is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Another attempt at the same request answered.
    OtherAnswered,
    /// The stream moved to another server.
    Moved,
    /// A trial at an earlier server brought no event.
    TrialEnded,
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
        state.server_label(key),
        StageGap(stages.sent_at, Some(now)),
        StageGap(stages.head_at, Some(now)),
        overlap.as_millis(),
    );
}

/// Records that a server sent nothing for `silence`, as evidence of its health.
pub fn record_silent_server(
    state: &Rc<GatewayState>,
    request: &AcceptedRequest,
    key: ServerKey,
    progress: &AttemptProgress,
    silence: Duration,
) {
    state.metrics.attempts.with_label_values(&["Silent"]).inc();
    log::info!(
        "event=attempt_silent request={} server={} silent_ms={}",
        request.head.request_id,
        state.server_label(key),
        silence.as_millis(),
    );
    if is_own_failure(state, key, &request.service, progress) {
        return;
    }
    if !progress.stages().is_forwarded {
        state.check_reach(key);
    }
    record_health(state, key, HealthEvidence::Failed);
}
